#include <fulmaryard/version_lag.hpp>

#include <algorithm>

namespace fulmaryard
{

bool version_lag::part_lag::on_peer_version(std::uint64_t own, std::uint64_t peer, time_point now)
{
    const auto known = std::max(own, m_checked);
    if (m_behind_since && m_newest <= known)
        m_behind_since.reset();
    if (peer > known)
    {
        m_newest = m_behind_since ? std::max(m_newest, peer) : peer;
        m_behind_since = m_behind_since.value_or(now);
    }
    if (!m_behind_since || now - *m_behind_since < tolerance)
        return false;
    m_checked = std::max(m_checked, m_newest);
    m_behind_since.reset();
    return true;
}

lagging_state version_lag::on_peer_versions(known_versions own, known_versions peer, time_point now)
{
    return {
        m_configuration.on_peer_version(own.m_configuration, peer.m_configuration, now),
        m_endpoints.on_peer_version(own.m_endpoints, peer.m_endpoints, now)};
}

} // namespace fulmaryard
