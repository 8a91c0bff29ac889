#include <fulmaryard/rank_demand.hpp>

#include <utility>

namespace fulmaryard
{

void rank_demand::on_arrival(std::uint32_t rank, double tokens, time_point now)
{
    m_arrivals[rank].add(tokens, now);
}

double rank_demand::own_rate_above(std::uint32_t rank, time_point now) const
{
    double total = 0;
    for (auto it = m_arrivals.begin(); it != m_arrivals.end() && it->first < rank; ++it)
        total += it->second.rate(now);
    return total;
}

double rank_demand::rate_above(std::uint32_t rank, time_point now) const
{
    double total = own_rate_above(rank, now);
    for (const auto& [router, report] : m_peers)
    {
        if (now - report.m_received > peer_report_lifetime)
            continue;
        for (auto it = report.m_rates.begin(); it != report.m_rates.end() && it->first < rank; ++it)
            total += it->second;
    }
    return total;
}

rank_demand::rates rank_demand::own_rates(time_point now) const
{
    rates own;
    if (m_arrivals.size() < 2)
        return own;
    for (const auto& [rank, counts] : m_arrivals)
    {
        if (const double tokens = counts.rate(now); tokens > 0)
            own[rank] = tokens;
    }
    return own;
}

void rank_demand::on_peer_report(const std::string& router, rates reported, time_point now)
{
    std::erase_if(
        m_peers,
        [now](const auto& peer) { return now - peer.second.m_received > peer_report_lifetime; });
    if (reported.empty())
        m_peers.erase(router);
    else
        m_peers[router] = {std::move(reported), now};
}

} // namespace fulmaryard
