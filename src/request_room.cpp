#include <fulmaryard/request_room.hpp>

#include <utility>

namespace fulmaryard
{

namespace
{

double layers_of(const path_hop& hop)
{
    return hop.m_layers.m_end - hop.m_layers.m_begin;
}

} // namespace

void request_room::take(const std::vector<path_hop>& path, double tokens, double unread)
{
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        auto& use = m_own[path[i].m_endpoint];
        use.m_memory += tokens * layers_of(path[i]);
        use.m_firsts += i == 0 ? 1 : 0;
        ++use.m_parts;
    }
    begin_read(path, unread);
}

void request_room::begin_read(const std::vector<path_hop>& path, double unread)
{
    for (const auto& hop : path)
        m_own[hop.m_endpoint].m_unread += unread * layers_of(hop);
}

void request_room::on_read(const std::vector<path_hop>& path, double unread)
{
    for (const auto& hop : path)
    {
        const auto found = m_own.find(hop.m_endpoint);
        if (found != m_own.end())
            found->second.m_unread -= unread * layers_of(hop);
    }
}

void request_room::release(const std::vector<path_hop>& path, double tokens, double unread)
{
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        const auto found = m_own.find(path[i].m_endpoint);
        if (found == m_own.end())
            continue;
        auto& use = found->second;
        use.m_memory -= tokens * layers_of(path[i]);
        use.m_unread -= unread * layers_of(path[i]);
        use.m_firsts -= i == 0 ? 1 : 0;
        if (--use.m_parts == 0)
            m_own.erase(found);
    }
}

void request_room::on_peer_report(const std::string& router, use_by_endpoint use, time_point now)
{
    m_peers[router] = {std::move(use), now};
}

request_room::endpoint_use request_room::use(const std::string& endpoint, time_point now) const
{
    endpoint_use total;
    if (const auto own = m_own.find(endpoint); own != m_own.end())
        total = own->second;
    for (const auto& [router, report] : m_peers)
    {
        if (now - report.m_received > peer_lifetime)
            continue;
        const auto found = report.m_use.find(endpoint);
        if (found == report.m_use.end())
            continue;
        total.m_memory += found->second.m_memory;
        total.m_unread += found->second.m_unread;
        total.m_firsts += found->second.m_firsts;
        total.m_parts += found->second.m_parts;
    }
    return total;
}

} // namespace fulmaryard
