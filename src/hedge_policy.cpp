#include <fulmaryard/hedge_policy.hpp>

#include <algorithm>
#include <cmath>

namespace fulmaryard
{

namespace
{

void drop_before(std::deque<hedge_policy::time_point>& times, hedge_policy::time_point oldest)
{
    while (!times.empty() && times.front() <= oldest)
        times.pop_front();
}

} // namespace

void hedge_policy::on_request(const std::string& service, time_point now)
{
    if (!enabled())
        return;
    auto& requests = m_services[service].m_requests;
    requests.push_back(now);
    drop_before(requests, now - window);
}

void hedge_policy::on_answer(const std::string& route, std::chrono::steady_clock::duration latency)
{
    if (!enabled() || (m_routes.size() >= max_routes && !m_routes.contains(route)))
        return;
    auto& known = m_routes[route];
    if (known.m_latencies.size() < max_answers)
    {
        known.m_latencies.push_back(latency);
        return;
    }
    known.m_latencies[known.m_next] = latency;
    known.m_next = (known.m_next + 1) % max_answers;
}

std::optional<std::chrono::steady_clock::duration>
hedge_policy::delay(const std::string& route) const
{
    const auto known = m_routes.find(route);
    if (!enabled() || known == m_routes.end() || known->second.m_latencies.size() < min_answers)
        return std::nullopt;
    auto latencies = known->second.m_latencies;
    const auto rank =
        static_cast<std::ptrdiff_t>(std::ceil(quantile * static_cast<double>(latencies.size()))) -
        1;
    std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
    return std::max<std::chrono::steady_clock::duration>(
        latencies[static_cast<std::size_t>(rank)], min_delay);
}

bool hedge_policy::try_hedge(const std::string& service, time_point now)
{
    auto& counts = m_services[service];
    drop_before(counts.m_requests, now - window);
    drop_before(counts.m_hedges, now - window);
    if ((counts.m_hedges.size() + 1) * 100 > counts.m_requests.size() * m_percent)
        return false;
    counts.m_hedges.push_back(now);
    return true;
}

} // namespace fulmaryard
