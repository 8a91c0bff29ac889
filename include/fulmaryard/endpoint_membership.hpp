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

/// Which endpoints exist, from what the platform lists.
///
/// Entries lapse while the store is down although their endpoints live. A removal that arrives
/// shortly after the store was lost therefore takes effect only after a grace period, in which the
/// endpoint may be listed again. Does no I/O. Not thread-safe.
class endpoint_membership
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time in which live endpoints are listed again after the store returns.
    static constexpr std::chrono::milliseconds relisting_grace{2'200};

    /// Replaces all entries by a full listing.
    void on_listing(const std::vector<endpoint_record>& records, time_point now);
    void on_changed(const endpoint_record& record);
    void on_removed(const std::string& id, time_point now);

    /// A call to the store failed, or succeeded again.
    void on_store_lost(time_point now);
    void on_store_back(time_point now);

    /// Ends grace periods; true when an endpoint was removed by that.
    bool on_tick(time_point now);

    const std::map<std::string, endpoint_record>& endpoints() const { return m_endpoints; }

private:
    std::map<std::string, endpoint_record> m_endpoints;
    std::map<std::string, time_point> m_remove_at;
    bool m_store_lost{false};
    std::optional<time_point> m_store_back;
};

} // namespace fulmaryard

#endif
