#ifndef FULMARYARD_ROUTER_PRESENCE_HPP
#define FULMARYARD_ROUTER_PRESENCE_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace fulmaryard
{

/// Which other routers run, and which of them stop, by what they last told.
///
/// Load pattern: routers are stopped in turn or together. A caller that a stopping router refuses
/// is served at once by one that stays, and refused again by another one that stops. Does no I/O.
/// Not thread-safe.
class router_presence
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A router that has not been heard for this long no longer counts; over three times the
    /// interval of the datagrams of 100 routers.
    static constexpr std::chrono::milliseconds silence{4'000};

    struct router
    {
        std::string m_failure_domain; ///< Empty if it did not tell.
        bool m_stopping{false};
        time_point m_heard;
    };

    void on_report(const std::string& name, const router& reported) { m_routers[name] = reported; }

    /// Forgets routers that were not heard for long.
    void on_tick(time_point now)
    {
        std::erase_if(
            m_routers, [now](const auto& known) { return now - known.second.m_heard > silence; });
    }

    const std::map<std::string, router>& routers() const { return m_routers; }

    /// Number of other routers that do not stop.
    std::size_t staying() const;

    /// Whether at least half of the routers of a failure domain stay, this one not counted among
    /// them. Load balancers send to all routers of a domain otherwise, also to those that stop.
    bool most_stay_in(const std::string& failure_domain) const;

private:
    std::map<std::string, router> m_routers; ///< By name.
};

} // namespace fulmaryard

#endif
