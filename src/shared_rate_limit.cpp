#include <fulmaryard/shared_rate_limit.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace
{

using seconds = std::chrono::duration<double>;

// Size of the bucket in seconds of the rate, besides one request: at least the first value, more
// with the delay of reports, at most the second. Within any time, no more than that is sent beyond
// the rate.
constexpr double min_bucket_seconds = 0.25;
constexpr double max_bucket_seconds = 0.75;

// Report intervals in which the bucket's fill should take effect; with fewer, it oscillates.
constexpr double intervals_per_fill = 2;

// The fullest bucket, as a multiple of the target. More is not sent after a time without requests.
constexpr double max_fill = 1.6;

// Part of the tokens that less urgent requests may use, so that the bucket is seldom too empty for
// urgent ones.
constexpr double less_urgent_part = 0.8;

double sum(const std::map<std::uint32_t, double>& rates)
{
    double total = 0;
    for (const auto& [rank, rate] : rates)
        total += rate;
    return total;
}

} // namespace

void shared_rate_limit::on_named(double rate, time_point sent, time_point now)
{
    m_used = now;
    m_own_limit.on_named(rate, sent, now);
    m_limit.on_named(rate, sent, now);
}

void shared_rate_limit::on_unnamed(time_point sent)
{
    m_own_limit.on_unnamed(sent);
    m_limit.on_unnamed(sent);
}

double shared_rate_limit::target_tokens(const exchange& routers) const
{
    const double delay = seconds(routers.m_interval).count() * intervals_per_fill;
    return 1 + rate() * std::min(min_bucket_seconds + delay, max_bucket_seconds);
}

void shared_rate_limit::fill(const exchange& routers, time_point now)
{
    const double added = rate() * routers.m_heard_share * seconds(now - m_filled).count();
    m_tokens = std::min(m_tokens + added, max_fill * target_tokens(routers));
    m_filled = now;
}

std::map<std::uint32_t, double> shared_rate_limit::own_demand(time_point now) const
{
    std::map<std::uint32_t, double> rates;
    for (const auto& [rank, draws] : m_draws)
    {
        if (const double requests = draws.rate_with_bursts(now); requests > 0)
            rates[rank] = requests;
    }
    return rates;
}

bool shared_rate_limit::counts(const peer& other, const exchange& routers, time_point now)
{
    return now - other.m_heard <= demand_lifetime + 3 * routers.m_interval;
}

std::map<std::uint32_t, double>
shared_rate_limit::demand(const exchange& routers, time_point now) const
{
    auto total = own_demand(now);
    for (const auto& [name, other] : m_peers)
    {
        if (!counts(other, routers, now))
            continue;
        for (const auto& [rank, rate] : other.m_demand)
            total[rank] += rate;
    }
    return total;
}

double shared_rate_limit::unseen_sends(const exchange& routers, time_point now) const
{
    double total = 0;
    for (const auto& [name, other] : m_peers)
    {
        if (!counts(other, routers, now))
            continue;
        const double usual = m_usual_rate * seconds(now - other.m_heard).count() * max_fill;
        total += std::max(static_cast<double>(m_sent - other.m_own_sent) - usual, 0.0);
    }
    return total;
}

double shared_rate_limit::granted(
    const std::map<std::uint32_t, double>& rates, std::uint32_t rank, double all) const
{
    double less_urgent = sum(rates);
    double taken = 0;
    for (const auto& [other, requests] : rates)
    {
        less_urgent = std::max(less_urgent - requests, 0.0);
        const double kept = std::min(less_urgent, min_less_urgent_share * all);
        const double free = (taken > 0 ? less_urgent_part * all : all - kept) - taken;
        const double part = std::clamp(free, 0.0, requests);
        if (other == rank)
            return part;
        taken += part;
    }
    return 0;
}

bool shared_rate_limit::admit(
    std::uint32_t rank, double random_value, const exchange& routers, time_point now)
{
    m_used = now;
    m_draws[rank].add(1, now);
    fill(routers, now);
    const double tokens = std::max(m_tokens - unseen_sends(routers, now), 0.0);
    const double all = tokens / target_tokens(routers) * rate() * routers.m_heard_share;
    const auto rates = demand(routers, now);
    return random_value * rates.at(rank) < granted(rates, rank, all);
}

bool shared_rate_limit::on_sent(const exchange& routers, time_point now)
{
    m_used = now;
    fill(routers, now);
    m_tokens -= 1;
    ++m_sent;
    return unseen_sends(routers, now) > 0;
}

double shared_rate_limit::own_rate(const exchange& routers, time_point now) const
{
    const double own = sum(own_demand(now));
    const double total = sum(demand(routers, now));
    return total > 0 ? rate() * routers.m_heard_share * own / total : 0;
}

void shared_rate_limit::on_peer_report(
    const std::string& router, const rate_limit_report& report, const exchange& routers,
    time_point now)
{
    m_limit.merge(report.m_limit);
    if (report.m_limit.in_force())
        m_used = now;
    fill(routers, now);
    const auto known = m_peers.find(router);
    // What a router sent before it was first heard is in the tokens that it reports.
    if (known != m_peers.end())
    {
        // A restarted router counts from 0.
        const auto before = known->second.m_sent <= report.m_sent ? known->second.m_sent : 0;
        m_tokens -= static_cast<double>(report.m_sent - before);
    }
    m_peers[router] = {report.m_sent, report.m_demand, m_sent, now};
}

rate_limit_report shared_rate_limit::report(const exchange& routers, time_point now)
{
    fill(routers, now);
    m_usual_rate = own_rate(routers, now);
    return {"", m_started_ms, m_own_limit, m_sent, m_tokens, own_demand(now)};
}

} // namespace fulmaryard
