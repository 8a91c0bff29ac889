#include <fulmaryard/channel_pool.hpp>

#include <utility>

namespace fulmaryard
{

namespace
{

// Maximum number of idle connections to one address. Connections in use are not limited.
constexpr std::size_t max_idle_per_address = 192;

} // namespace

std::unique_ptr<endpoint_channel>
channel_pool::take(const std::string& address, std::chrono::milliseconds max_idle, time_point now)
{
    const auto found = m_idle_channels.find(address);
    if (found == m_idle_channels.end())
        return nullptr;
    // The most recently used connection is the least likely to have been closed by its endpoint.
    while (!found->second.empty())
    {
        if (now - found->second.back().m_idle_since > max_idle)
            return nullptr;
        idle_channel candidate = std::move(found->second.back());
        found->second.pop_back();
        if (now < candidate.m_channel->reusable_until() && candidate.m_channel->is_open_and_idle())
            return std::move(candidate.m_channel);
    }
    return nullptr;
}

std::unique_ptr<endpoint_channel> channel_pool::create()
{
    return std::make_unique<endpoint_channel>(m_executor);
}

void channel_pool::put(std::unique_ptr<endpoint_channel> channel, time_point now)
{
    if (!channel->reusable())
        return;
    auto& idle = m_idle_channels[channel->address()];
    if (idle.size() < max_idle_per_address)
        idle.push_back({std::move(channel), now});
}

void channel_pool::on_tick(time_point now)
{
    for (auto entry = m_idle_channels.begin(); entry != m_idle_channels.end();)
    {
        std::erase_if(
            entry->second,
            [now](const idle_channel& idle) { return now >= idle.m_channel->reusable_until(); });
        entry = entry->second.empty() ? m_idle_channels.erase(entry) : std::next(entry);
    }
}

std::size_t channel_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [address, idle] : m_idle_channels)
        count += idle.size();
    return count;
}

} // namespace fulmaryard
