#ifndef FULMARYARD_STALL_LOCATOR_HPP
#define FULMARYARD_STALL_LOCATOR_HPP

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A running stream whose events pass all endpoints of its path.
struct stream_progress
{
    std::vector<std::string> m_endpoints;
    std::chrono::steady_clock::duration m_silence{};        ///< Since its last event.
    std::chrono::steady_clock::duration m_usual_interval{}; ///< Mean time between its events.
};

/// Finds the endpoints at which streams stall, by the streams that pass them.
///
/// Load pattern: an endpoint is lost or cut off while many streams run. A query shows only after a
/// time-out which endpoint of a path it is; streams that pass the others tell it sooner. Does no
/// I/O.
class stall_locator
{
public:
    /// Shortest silence of a stream that counts; prefill of other requests pauses streams as long.
    static constexpr std::chrono::milliseconds min_silence{80};

    /// A stream is silent after this many of its usual intervals without an event, and progresses
    /// up to the second number of them.
    static constexpr double silent_intervals = 2.5;
    static constexpr double progress_intervals = 1.5;

    /// Silent streams that an endpoint alone explains, before it is at fault.
    static constexpr std::size_t min_streams = 2;

    /// Whether the stream has been silent for longer than its usual pauses.
    static bool silent(const stream_progress& stream);

    /// Returns the endpoints at fault: at least `min_streams` silent streams pass each of them,
    /// none of which has another endpoint without a stream that progresses, and no stream that
    /// passes it progresses.
    static std::set<std::string> find(const std::vector<stream_progress>& streams);
};

} // namespace fulmaryard

#endif
