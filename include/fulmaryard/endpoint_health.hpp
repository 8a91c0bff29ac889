#ifndef FULMARYARD_ENDPOINT_HEALTH_HPP
#define FULMARYARD_ENDPOINT_HEALTH_HPP

#include <fulmaryard/suspicion_cause.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Failure detector: tracks which endpoints this process, or another router, suspects of being
/// unresponsive, and how slow endpoints report themselves to be.
///
/// A failure counts at once, also when another router observed it. Silence is only evidence, since
/// lost packets delay the answers of live endpoints: it counts for the router that observed it, or
/// when several routers did, and never while requests make progress at the endpoint. An endpoint
/// counts as lost, so that its layers may be loaded elsewhere, only after a failure or a longer
/// silence. A suspicion ends when the endpoint answers again or restarts. A refused request does
/// not count, since it usually means only that the endpoint is short of memory. Does no I/O. Not
/// thread-safe.
class endpoint_health
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A suspicion received from another router expires this long after the last message that
    /// contained it.
    static constexpr std::chrono::milliseconds peer_suspicion_lifetime{1'500};
    /// Time between two probes of an endpoint that is suspected or slow.
    static constexpr std::chrono::milliseconds probe_interval{500};
    /// A reported slowdown factor expires after this; slow endpoints are probed before it does.
    static constexpr std::chrono::milliseconds slowdown_lifetime{1'500};
    /// An endpoint counts as slow if its slowdown factor is at least this.
    static constexpr double slow_threshold = 1.5;

    /// Silence does not count if the endpoint was known to be alive within this time.
    static constexpr std::chrono::milliseconds alive_lifetime{600};
    /// Silence that other routers observed counts if at least this many of them did.
    static constexpr std::size_t min_silence_reports = 3;
    /// An endpoint that is only silent counts as lost after this time, which is longer than the
    /// load of a typical range of layers elsewhere.
    static constexpr std::chrono::milliseconds silence_until_lost{2'000};

    /// Marks an endpoint as suspected. `started_ms`, its start time in Unix milliseconds,
    /// identifies the run. Returns true if this process did not suspect that run yet for this or a
    /// stronger cause. Silence is ignored while the endpoint is known to be alive.
    bool suspect(
        const std::string& id, std::uint64_t started_ms, time_point now,
        suspicion_cause cause = suspicion_cause::failure);

    /// Whether this process or another router has observed silence recently.
    bool any_silence(time_point now) const;

    /// Forgets what no longer counts, such as endpoints that are gone. To be called now and then.
    void on_tick(time_point now);

    /// Records that requests make progress at the endpoint. Clears this process's own suspicion if
    /// its cause was silence.
    void on_alive(const std::string& id, time_point now);

    /// Records that another router observed a failure of the endpoint.
    void on_peer_suspicion(const std::string& id, std::uint64_t started_ms, time_point now);

    /// Records that the router `router` observed silence of the endpoint.
    void on_peer_silence(
        const std::string& router, const std::string& id, std::uint64_t started_ms, time_point now);

    /// Clears this process's own suspicion, since the endpoint answered. Returns true if there was
    /// one.
    bool clear(const std::string& id);

    /// Whether this process or another router suspects the run that began at `started_ms`.
    bool suspected(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// Whether that run is suspected because of a failure rather than silence.
    bool failed(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// Whether that run counts as lost: it failed, or has been silent for `silence_until_lost`.
    bool lost(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// This process's own suspicions as pairs of endpoint id and `started_ms`, to send to other
    /// routers.
    std::vector<std::pair<std::string, std::uint64_t>> own() const;
    std::vector<std::pair<std::string, std::uint64_t>> own(suspicion_cause cause) const;

    /// Records the slowdown factor that the endpoint reported to this process (`own`) or to another
    /// router. Values above 1 mean slower than usual.
    void on_slowdown(const std::string& id, double slowdown, bool own, time_point now);

    /// The last reported slowdown factor, or 1 if there is none or it has expired.
    double slowdown(const std::string& id, time_point now) const;

    /// Slow endpoints that reported to this process recently, with their slowdown factors, to send
    /// to other routers.
    std::vector<std::pair<std::string, double>> slow(time_point now) const;

    /// Returns the suspected and slow endpoints whose probe is due, and schedules their next probe
    /// after `probe_interval`.
    std::vector<std::string> take_due_probes(time_point now);

private:
    struct own_suspicion
    {
        std::uint64_t m_started_ms{0};
        suspicion_cause m_cause{suspicion_cause::failure};
        time_point m_since;
        time_point m_next_probe;
    };
    struct peer_suspicion_entry
    {
        std::uint64_t m_started_ms{0};
        time_point m_until;
    };

    struct reported_slowdown
    {
        double m_slowdown{1};
        bool m_own{false}; ///< Reported to this process rather than to another router.
        time_point m_time;
        time_point m_next_probe;
    };

    /// Silence of one run that other routers observed.
    struct peer_silence
    {
        std::uint64_t m_started_ms{0};
        std::map<std::string, time_point> m_until; ///< By router.
        time_point m_since; ///< When `min_silence_reports` routers first agreed.
    };

    bool peers_agree(const peer_silence& silence, time_point now) const;

    std::map<std::string, time_point> m_alive_at; ///< Last sign of life by endpoint id.
    std::map<std::string, peer_silence> m_peer_silences;
    time_point m_next_cleanup;
    std::map<std::string, reported_slowdown> m_slowdowns;
    std::map<std::string, own_suspicion> m_own;
    std::map<std::string, peer_suspicion_entry> m_peer_suspicions;
};

} // namespace fulmaryard

#endif
