#include <fulmaryard/endpoint_notices.hpp>

#include <algorithm>

namespace fulmaryard
{

bool endpoint_notices::on_notice(
    const std::string& id, std::uint64_t started_ms, const endpoint_notice& notice, time_point now)
{
    if (!notice.m_leaving && !notice.m_no_work_for)
        return false;
    auto& state = m_endpoints[id];
    if (state.m_started_ms > started_ms)
        return false; // An answer of an earlier run that arrived late.
    if (state.m_started_ms != started_ms)
        state = {started_ms, false, {}, now};
    state.m_time = now;
    bool is_new = notice.m_leaving && !state.m_leaving;
    state.m_leaving = state.m_leaving || notice.m_leaving;
    if (notice.m_no_work_for)
    {
        const auto until = now + std::min(*notice.m_no_work_for, max_no_work);
        is_new = is_new || (now >= state.m_no_work_until && until > now);
        state.m_no_work_until = std::max(state.m_no_work_until, until);
    }
    return is_new;
}

bool endpoint_notices::leaving(const std::string& id, std::uint64_t started_ms) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && found->second.m_started_ms == started_ms &&
           found->second.m_leaving;
}

std::optional<endpoint_notices::time_point> endpoint_notices::no_work_until(
    const std::string& id, std::uint64_t started_ms, time_point now) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.m_started_ms != started_ms ||
        now >= found->second.m_no_work_until)
        return std::nullopt;
    return found->second.m_no_work_until;
}

void endpoint_notices::on_tick(time_point now)
{
    std::erase_if(
        m_endpoints,
        [now](const auto& entry)
        {
            const auto& state = entry.second;
            const auto lifetime = state.m_leaving ? leaving_lifetime : std::chrono::milliseconds(0);
            return now >= state.m_no_work_until && now - state.m_time >= lifetime;
        });
}

} // namespace fulmaryard
