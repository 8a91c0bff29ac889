#ifndef FULMARYARD_SETTLE_TIMER_HPP
#define FULMARYARD_SETTLE_TIMER_HPP

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// Waits until a set has not changed for some time, but not forever: one whose members come and go
/// all the time counts as settled after `max_wait`. Does no I/O. Not thread-safe.
class settle_timer
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Endpoints that start together register within one heartbeat of each other.
    static constexpr std::chrono::milliseconds quiet_time{1'300};
    /// Several heartbeats; all endpoints of a deployment that starts have registered by then.
    static constexpr std::chrono::milliseconds max_wait{8'000};

    /// Whether the set, which has these members at `now`, is settled. To be called often; a change
    /// after a quiet time begins a new wait.
    bool settled(std::vector<std::string> members, time_point now)
    {
        if (members != m_members)
        {
            if (m_members.empty() || now - m_last_change >= quiet_time)
                m_first_change = now;
            m_members = std::move(members);
            m_last_change = now;
        }
        return now - m_last_change >= quiet_time || now - m_first_change >= max_wait;
    }

    const std::vector<std::string>& members() const { return m_members; }

private:
    std::vector<std::string> m_members;
    time_point m_first_change;
    time_point m_last_change;
};

} // namespace fulmaryard

#endif
