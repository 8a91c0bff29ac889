#ifndef FULMARYARD_ENDPOINT_REFUSALS_HPP
#define FULMARYARD_ENDPOINT_REFUSALS_HPP

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// Exponential backoff for endpoints that refused a request; no requests are routed to a paused
/// endpoint.
///
/// A single refusal usually means a short lack of memory. An endpoint that refuses at every try is
/// shutting down or unloading its layers, which the platform cannot report while the store is
/// unreachable; the pause therefore doubles with each refused try. Without the backoff, every
/// router would keep trying such endpoints, and requests would use up their attempts on them. Does
/// no I/O. Not thread-safe.
class endpoint_refusals
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Pause after the first refusal; equal to the delay of an endpoint's load report.
    static constexpr std::chrono::milliseconds initial_pause{200};
    /// Upper bound of a pause, and so of the time for which an endpoint that accepts requests again
    /// is left unused.
    static constexpr std::chrono::milliseconds max_pause{1'600};

    /// The endpoint refused a request. Ignored during a pause, since the request was sent before
    /// the pause began.
    void on_refused(const std::string& id, time_point now);

    /// Another router was refused repeatedly and pauses the endpoint until `until`. Extends the
    /// pause here, to at most `max_pause` from now.
    void on_peer_pause(const std::string& id, time_point until, time_point now);

    /// The endpoint accepted a request; ends its pause and resets the backoff.
    void on_accepted(const std::string& id) { m_refused.erase(id); }

    bool paused(const std::string& id, time_point now) const;

    /// Paused endpoints that refused this process at more than one try, with the remaining pause,
    /// to send to other routers.
    std::vector<std::pair<std::string, std::chrono::milliseconds>>
    repeated_refusals(time_point now) const;

    /// Drops entries whose pause ended more than `2 * max_pause` ago.
    void on_tick(time_point now);

private:
    struct refusal
    {
        std::chrono::milliseconds m_pause{0}; ///< 0 if only other routers were refused.
        time_point m_until;
    };

    std::map<std::string, refusal> m_refused;
};

} // namespace fulmaryard

#endif
