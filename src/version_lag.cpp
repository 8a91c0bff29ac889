#include <fulmaryard/version_lag.hpp>

#include <algorithm>

namespace fulmaryard
{

bool version_lag::part_lag::on_peer_version(std::uint64_t own, std::uint64_t peer, time_point now)
{
    m_newest = std::max(m_newest, peer);
    if (m_newest <= own)
    {
        m_newest = 0;
        m_next_read.reset();
        return false;
    }
    if (!m_next_read || own != m_own)
    {
        m_next_read = m_next_read.value_or(now + tolerance);
        m_own = own;
        m_repeat = min_repeat;
    }
    if (now < *m_next_read)
        return false;
    m_next_read = now + m_repeat;
    m_repeat = std::min(2 * m_repeat, max_repeat);
    return true;
}

lagging_state version_lag::on_peer_versions(known_versions own, known_versions peer, time_point now)
{
    return {
        m_configuration.on_peer_version(own.m_configuration, peer.m_configuration, now),
        m_endpoints.on_peer_version(own.m_endpoints, peer.m_endpoints, now)};
}

} // namespace fulmaryard
