#include <fulmaryard/wait_queue.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace
{

double to_seconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Caps the duration at one hour, so that a very low release rate does not overflow it.
std::chrono::steady_clock::duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

} // namespace

double wait_queue::released_tokens_per_second(time_point now) const
{
    double tokens = 0;
    for (const auto& released : m_released)
    {
        if (now - released.m_time <= rate_window)
            tokens += released.m_tokens;
    }
    return tokens / to_seconds(rate_window);
}

bool wait_queue::may_wait(const waiting_request& request, time_point now)
{
    if (!m_first_query_time)
        m_first_query_time = now;
    if (now - *m_first_query_time < rate_window)
        return m_waiting.size() < max_waiting_at_start;
    double tokens_ahead = request.m_tokens;
    for (const auto& [key, other] : m_waiting)
    {
        if (key < order_key{!request.m_is_retry, request.m_priority, request.m_id})
            tokens_ahead += other.m_tokens;
    }
    const double rate = released_tokens_per_second(now);
    return rate > 0 && now + from_seconds(tokens_ahead / rate) <= request.m_latest_start;
}

void wait_queue::add(const waiting_request& request)
{
    m_waiting[{!request.m_is_retry, request.m_priority, request.m_id}] = request;
}

void wait_queue::remove(std::uint64_t id)
{
    std::erase_if(m_waiting, [id](const auto& entry) { return entry.second.m_id == id; });
}

std::optional<std::uint64_t> wait_queue::next() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.begin()->second.m_id;
}

std::vector<std::uint64_t> wait_queue::expired(time_point now) const
{
    std::vector<std::uint64_t> late;
    for (const auto& [key, request] : m_waiting)
    {
        if (now >= request.m_latest_start)
            late.push_back(request.m_id);
    }
    return late;
}

void wait_queue::on_released(double tokens, time_point now)
{
    while (!m_released.empty() && now - m_released.front().m_time > rate_window)
        m_released.pop_front();
    m_released.push_back({now, tokens});
}

std::chrono::milliseconds wait_queue::assign_retry_after(double tokens, time_point now)
{
    double waiting_tokens = 0;
    for (const auto& [key, request] : m_waiting)
        waiting_tokens += request.m_tokens;
    const double rate = released_tokens_per_second(now);
    const auto earliest = now + min_retry_after;
    // Without a release rate the time at which capacity becomes free cannot be estimated.
    const auto after_waiting = rate > 0 ? now + from_seconds(waiting_tokens / rate) : now;
    const auto service_time = rate > 0 ? from_seconds(tokens / rate) : min_retry_after / 4;
    m_last_retry_time = std::max({m_last_retry_time, after_waiting, earliest}) + service_time;
    m_last_retry_time = std::min(m_last_retry_time, now + max_retry_after);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_last_retry_time - now);
}

} // namespace fulmaryard
