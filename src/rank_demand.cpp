#include <fulmaryard/rank_demand.hpp>

#include <utility>

namespace fulmaryard
{

std::int64_t rank_demand::slot_number(time_point now)
{
    return now.time_since_epoch() / slot_length;
}

double rank_demand::rate(const std::array<slot, slots>& counts, time_point now)
{
    const auto oldest = slot_number(now) - static_cast<std::int64_t>(slots);
    double tokens = 0;
    for (const auto& each : counts)
        tokens += each.m_number > oldest ? each.m_tokens : 0;
    return tokens / std::chrono::duration<double>(window).count();
}

void rank_demand::on_arrival(std::uint32_t rank, double tokens, time_point now)
{
    const auto number = slot_number(now);
    auto& current = m_arrivals[rank][static_cast<std::size_t>(number) % slots];
    if (current.m_number != number)
        current = {number, 0};
    current.m_tokens += tokens;
}

double rank_demand::own_rate_above(std::uint32_t rank, time_point now) const
{
    double total = 0;
    for (auto it = m_arrivals.begin(); it != m_arrivals.end() && it->first < rank; ++it)
        total += rate(it->second, now);
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
        if (const double tokens = rate(counts, now); tokens > 0)
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
