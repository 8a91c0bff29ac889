#ifndef FULMARYARD_ENDPOINT_MEMBERSHIP_HPP
#define FULMARYARD_ENDPOINT_MEMBERSHIP_HPP

#include <fulmaryard/endpoint_record.hpp>

#include <chrono>
#include <cstdint>
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
/// and cancelled if the endpoint is listed again.
///
/// A store that is restored from an older copy lists entries as they were then. What is known of a
/// run is newer, so such an entry changes nothing of a known run and does not bring back a removed
/// one. Does no I/O. Not thread-safe.
class endpoint_membership
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time within which live endpoints are listed again once the store is reachable.
    static constexpr std::chrono::milliseconds relisting_grace{2'200};

    /// Time after a restoration of the store in which its listings may hold entries of the copy. An
    /// endpoint that is gone is no longer listed by then: it has missed three heartbeats of 1.2 s.
    static constexpr std::chrono::milliseconds restored_entry_grace{5'000};

    /// Removed runs are remembered for this long.
    static constexpr std::chrono::seconds removed_lifetime{60};

    /// Applies a full listing; endpoints that are missing from it are handled as removed. Returns
    /// the ids of known endpoints whose entries differ and may be of an older copy.
    std::vector<std::string>
    on_listing(const std::vector<endpoint_record>& records, time_point now);
    void on_changed(const endpoint_record& record);
    void on_removed(const std::string& id, time_point now);

    /// Called when calls to the store begin to fail, and when they succeed again.
    void on_store_unavailable(time_point now);
    void on_store_recovered(time_point now);
    /// Called when the store has come back from an older copy.
    void on_store_restored(time_point now);

    /// Removes endpoints whose grace period is over, unless the store is unreachable. Returns true
    /// if any was removed.
    bool on_tick(time_point now);

    const std::map<std::string, endpoint_record>& endpoints() const { return m_endpoints; }

private:
    struct removed_run
    {
        std::uint64_t m_started_ms{0};
        time_point m_removed;
    };

    /// Applies an entry that may be of an older copy; returns whether it differs from what is
    /// known.
    bool on_restored_entry(const endpoint_record& record, time_point now);
    void erase(std::map<std::string, endpoint_record>::iterator endpoint, time_point now);

    std::map<std::string, endpoint_record> m_endpoints;
    std::map<std::string, removed_run> m_removed; ///< The last run, by endpoint id.
    /// Entries of removed runs that a restored store lists; added if they are still listed later.
    std::map<std::string, endpoint_record> m_held_back;
    std::optional<time_point> m_restored_at;           ///< Last restoration of the store.
    std::map<std::string, time_point> m_removal_times; ///< Delayed removals, by endpoint id.
    bool m_store_lost{false};
    std::optional<time_point> m_store_recovered_at; ///< End of the last outage.
};

} // namespace fulmaryard

#endif
