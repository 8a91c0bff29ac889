#ifndef FULMARYARD_ENDPOINT_HEALTH_HPP
#define FULMARYARD_ENDPOINT_HEALTH_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Which endpoints this process, or another router, has found not to answer.
///
/// A refusal is no sign of this: it mostly means that memory is short. An endpoint is suspected
/// when a connection to it fails, or when calls stall at it, until it answers again or starts
/// anew. Paces that endpoints report are kept too. Does no I/O. Not thread-safe.
class endpoint_health
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// What another router suspects counts for this long after it last said so.
    static constexpr std::chrono::milliseconds peer_suspicion{1'500};
    /// An endpoint is asked again this long after it was last found silent.
    static constexpr std::chrono::milliseconds probe_interval{500};
    /// A reported pace counts for this long; slow endpoints are asked again before.
    static constexpr std::chrono::milliseconds pace_lifetime{1'500};
    /// An endpoint with a pace from here on counts as slow.
    static constexpr double slow_pace = 1.5;

    /// Suspects an endpoint; `started_ms` names its run. True when it was not suspected before.
    bool suspect(const std::string& id, std::uint64_t started_ms, time_point now);

    /// Another router suspects it.
    void on_peer_suspicion(const std::string& id, std::uint64_t started_ms, time_point now);

    /// The endpoint answered. True when it was suspected.
    bool clear(const std::string& id);

    /// Whether the run that began at `started_ms` is suspected.
    bool suspected(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// Own suspicions, for other routers: id and run.
    std::vector<std::pair<std::string, std::uint64_t>> own() const;

    /// The endpoint reported its pace to this process or to another router; above 1 it is slower
    /// than usual.
    void on_pace(const std::string& id, double pace, bool own, time_point now);

    /// The last pace reported, while that is recent; otherwise 1.
    double pace(const std::string& id, time_point now) const;

    /// Recent paces that slow endpoints reported to this process, for other routers.
    std::vector<std::pair<std::string, double>> slow(time_point now) const;

    /// Endpoints to be asked whether they answer again; each is returned once per interval.
    std::vector<std::string> due_for_probe(time_point now);

private:
    struct own_suspicion
    {
        std::uint64_t m_started_ms{0};
        time_point m_next_probe;
    };
    struct peer_suspicion_entry
    {
        std::uint64_t m_started_ms{0};
        time_point m_until;
    };

    struct reported_pace
    {
        double m_pace{1};
        bool m_own{false};
        time_point m_time;
        time_point m_next_probe;
    };

    std::map<std::string, reported_pace> m_paces;
    std::map<std::string, own_suspicion> m_own;
    std::map<std::string, peer_suspicion_entry> m_peers;
};

} // namespace fulmaryard

#endif
