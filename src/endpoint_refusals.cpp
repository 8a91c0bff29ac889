#include <fulmaryard/endpoint_refusals.hpp>

#include <algorithm>

namespace fulmaryard
{

void endpoint_refusals::on_refused(const std::string& id, time_point now)
{
    auto& refused = m_refused[id];
    if (now < refused.m_until)
        return;
    refused.m_pause = std::clamp(refused.m_pause * 2, initial_pause, max_pause);
    refused.m_until = now + refused.m_pause;
}

void endpoint_refusals::on_peer_pause(const std::string& id, time_point until, time_point now)
{
    auto& refused = m_refused[id];
    refused.m_until = std::max(refused.m_until, std::min(until, now + max_pause));
}

bool endpoint_refusals::paused(const std::string& id, time_point now) const
{
    const auto found = m_refused.find(id);
    return found != m_refused.end() && now < found->second.m_until;
}

std::vector<std::pair<std::string, std::chrono::milliseconds>>
endpoint_refusals::repeated_refusals(time_point now) const
{
    std::vector<std::pair<std::string, std::chrono::milliseconds>> paused;
    for (const auto& [id, refused] : m_refused)
    {
        if (refused.m_pause > initial_pause && now < refused.m_until)
        {
            paused.emplace_back(
                id, std::chrono::duration_cast<std::chrono::milliseconds>(refused.m_until - now));
        }
    }
    return paused;
}

void endpoint_refusals::on_tick(time_point now)
{
    // The pause doubles only while refusals follow each other closely; after a longer time without
    // one, the next starts again at the first pause.
    std::erase_if(
        m_refused, [now](const auto& entry) { return now > entry.second.m_until + 2 * max_pause; });
}

} // namespace fulmaryard
