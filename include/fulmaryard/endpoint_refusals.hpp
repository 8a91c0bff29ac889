#ifndef FULMARYARD_ENDPOINT_REFUSALS_HPP
#define FULMARYARD_ENDPOINT_REFUSALS_HPP

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// Which endpoints are left out for a moment because they refused a request.
///
/// One refusal mostly means that memory is short, and passes. An endpoint that refuses each time it
/// is tried is leaving or gives up its layers, and the platform may be unable to say so; the pause
/// doubles with each such try. Answers endpoints that leave while the store is away: without it
/// every router tries them again and again, and requests use up their attempts there. Does no I/O.
/// Not thread-safe.
class endpoint_refusals
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// After the first refusal: the lag of an endpoint's report.
    static constexpr std::chrono::milliseconds first_pause{200};
    /// Bounds how long an endpoint that accepts again goes unused.
    static constexpr std::chrono::milliseconds longest_pause{1'600};

    /// The endpoint refused a request. What was sent before the pause began says nothing new.
    void on_refused(const std::string& id, time_point now);

    /// Another router was refused by it several times and pauses until `until`.
    void on_peer_pause(const std::string& id, time_point until, time_point now);

    /// The endpoint accepted a request.
    void on_accepted(const std::string& id) { m_refused.erase(id); }

    bool paused(const std::string& id, time_point now) const;

    /// Endpoints that refused this process at several tries, with what is left of their pause.
    std::vector<std::pair<std::string, std::chrono::milliseconds>> repeated(time_point now) const;

    /// Forgets what was refused long ago.
    void on_tick(time_point now);

private:
    struct refusal
    {
        std::chrono::milliseconds m_pause{0}; ///< 0 when only other routers were refused.
        time_point m_until;
    };

    std::map<std::string, refusal> m_refused;
};

} // namespace fulmaryard

#endif
