#include <fulmaryard/endpoint_reservations.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

double layer_count(const path_hop& hop)
{
    return hop.m_layers.m_end - hop.m_layers.m_begin;
}

} // namespace

void endpoint_reservations::take(const std::vector<path_hop>& path, double tokens, double unread)
{
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        auto& use = m_own[path[i].m_endpoint];
        use.m_kv_token_layers += tokens * layer_count(path[i]);
        use.m_starting_requests += i == 0 ? 1 : 0;
        ++use.m_crossing_requests;
    }
    begin_read(path, unread);
}

void endpoint_reservations::begin_read(const std::vector<path_hop>& path, double unread)
{
    for (const auto& hop : path)
        m_own[hop.m_endpoint].m_unread += unread * layer_count(hop);
}

void endpoint_reservations::on_read(const std::vector<path_hop>& path, double unread)
{
    for (const auto& hop : path)
    {
        const auto found = m_own.find(hop.m_endpoint);
        if (found != m_own.end())
            found->second.m_unread -= unread * layer_count(hop);
    }
}

void endpoint_reservations::release(const std::vector<path_hop>& path, double tokens, double unread)
{
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        const auto found = m_own.find(path[i].m_endpoint);
        if (found == m_own.end())
            continue;
        auto& use = found->second;
        use.m_kv_token_layers -= tokens * layer_count(path[i]);
        use.m_unread -= unread * layer_count(path[i]);
        use.m_starting_requests -= i == 0 ? 1 : 0;
        if (--use.m_crossing_requests == 0)
            m_own.erase(found);
    }
}

bool endpoint_reservations::expired(const peer_report& report, time_point now)
{
    return now - report.m_received > peer_report_lifetime;
}

void endpoint_reservations::add_to_totals(const usage_by_endpoint& use, int sign)
{
    for (const auto& [endpoint, usage] : use)
    {
        auto& total = m_peer_totals[endpoint];
        total.m_kv_token_layers += sign * usage.m_kv_token_layers;
        total.m_unread += sign * usage.m_unread;
        total.m_starting_requests += sign * usage.m_starting_requests;
        total.m_crossing_requests += sign * usage.m_crossing_requests;
        // Without requests, the sums may differ from 0 by rounding errors.
        if (total.m_crossing_requests == 0)
            m_peer_totals.erase(endpoint);
    }
}

void endpoint_reservations::on_peer_report(
    const std::string& router, usage_by_endpoint use, time_point now)
{
    std::erase_if(
        m_peers,
        [&](const auto& peer)
        {
            const bool erased = peer.first == router || expired(peer.second, now);
            if (erased)
                add_to_totals(peer.second.m_use, -1);
            return erased;
        });
    add_to_totals(use, 1);
    m_peers[router] = {std::move(use), now};
    m_oldest_report = now;
    for (const auto& [name, report] : m_peers)
        m_oldest_report = std::min(m_oldest_report, report.m_received);
}

endpoint_reservations::endpoint_usage
endpoint_reservations::use(const std::string& endpoint, time_point now) const
{
    endpoint_usage total;
    if (const auto own = m_own.find(endpoint); own != m_own.end())
        total = own->second;
    const auto add = [&](const usage_by_endpoint& use)
    {
        const auto found = use.find(endpoint);
        if (found == use.end())
            return;
        total.m_kv_token_layers += found->second.m_kv_token_layers;
        total.m_unread += found->second.m_unread;
        total.m_starting_requests += found->second.m_starting_requests;
        total.m_crossing_requests += found->second.m_crossing_requests;
    };
    if (m_peers.empty() || now - m_oldest_report <= peer_report_lifetime)
    {
        add(m_peer_totals);
        return total;
    }
    for (const auto& [router, report] : m_peers)
    {
        if (!expired(report, now))
            add(report.m_use);
    }
    return total;
}

} // namespace fulmaryard
