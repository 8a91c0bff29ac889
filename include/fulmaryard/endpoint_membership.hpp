#ifndef FULMARYARD_ENDPOINT_MEMBERSHIP_HPP
#define FULMARYARD_ENDPOINT_MEMBERSHIP_HPP

#include <fulmaryard/endpoint_record.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// The set of endpoints that the platform lists.
///
/// While the store is down, entries expire although their endpoints are alive. Removals that are
/// seen during an outage of the store, or shortly after it, are therefore delayed by a grace period
/// and cancelled if the endpoint is listed again. Does no I/O. Not thread-safe.
class endpoint_membership
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time within which live endpoints are listed again once the store is reachable.
    static constexpr std::chrono::milliseconds relisting_grace{2'200};

    /// Applies a full listing; endpoints that are missing from it are handled as removed.
    void on_listing(const std::vector<endpoint_record>& records, time_point now);
    void on_changed(const endpoint_record& record);
    void on_removed(const std::string& id, time_point now);

    /// Called when calls to the store begin to fail, and when they succeed again.
    void on_store_unavailable(time_point now);
    void on_store_recovered(time_point now);

    /// Removes endpoints whose grace period is over, unless the store is unreachable. Returns true
    /// if any was removed.
    bool on_tick(time_point now);

    const std::map<std::string, endpoint_record>& endpoints() const { return m_endpoints; }

private:
    std::map<std::string, endpoint_record> m_endpoints;
    std::map<std::string, time_point> m_removal_times; ///< Delayed removals, by endpoint id.
    bool m_store_lost{false};
    std::optional<time_point> m_store_recovered_at; ///< End of the last outage.
};

} // namespace fulmaryard

#endif
