#ifndef FULMARYARD_STOP_ADMISSION_HPP
#define FULMARYARD_STOP_ADMISSION_HPP

#include <fulmaryard/duration_estimate.hpp>
#include <fulmaryard/stream_durations.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace fulmaryard
{

/// A stream that arrives at a stopping router.
struct stopping_stream
{
    std::string m_route;   ///< Key of what is known of the streams of its route.
    std::string m_service; ///< The same of all streams of its service.
    stream_durations::plan m_plan;
    bool m_has_pipeline{false};   ///< The speed of its path is known.
    double m_max_tokens{0};       ///< Longest answer that the caller permits; 0: not given.
    double m_estimated_tokens{0}; ///< The caller's estimate, or a typical answer; 0: unknown.
};

/// Decides how long a stream that arrives at a stopping router is expected to last.
///
/// Load pattern: routers are stopped in turn or together while load balancers still send callers
/// to them. A stream that is refused costs its caller a return, perhaps to another router that
/// stops; one that is cut at the exit costs all that was done. Does no I/O.
class stop_admission
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// `arrivals_end`: load balancers have taken the router out, so that a refused caller finds
    /// another one. `most_stay`: most routers of the failure domain do not stop.
    ///
    /// While callers arrive, what similar streams have shown goes before the longest answer that
    /// the caller permits, which few answers reach; where most routers stop, half of the similar
    /// streams have to end in time. Later both count, and similar streams alone do not suffice: the
    /// longest answer and the speed of its path have to be known. Empty if nothing is known; only
    /// its deadline bounds such a stream.
    static std::optional<duration_estimate> expected_duration(
        const stream_durations& durations, const stopping_stream& stream, bool arrivals_end,
        bool most_stay, time_point now);
};

} // namespace fulmaryard

#endif
