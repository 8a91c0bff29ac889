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

double wait_queue::released_tokens_per_second(time_point now, bool rate_limited) const
{
    double tokens = 0;
    for (const auto& released : m_released)
    {
        if (now - released.m_time <= rate_window && (rate_limited || !released.m_rate_limited))
            tokens += released.m_tokens;
    }
    return tokens / to_seconds(rate_window);
}

bool wait_queue::may_wait(
    const waiting_request& request, time_point now, double urgent_tokens_per_second)
{
    if (!m_first_query_time)
        m_first_query_time = now;
    if (now - *m_first_query_time < rate_window)
        return m_waiting.size() < max_waiting_at_start;
    double tokens_ahead = request.m_tokens;
    const auto own_key = key_of(request);
    for (const auto& [key, other] : m_waiting)
    {
        if (key < own_key)
            tokens_ahead += other.m_tokens;
    }
    const double rate = released_tokens_per_second(now, false) - urgent_tokens_per_second;
    return rate > 0 && now + from_seconds(tokens_ahead / rate) <= request.m_latest_start;
}

bool wait_queue::goes_before_all(std::uint32_t priority) const
{
    if (m_waiting.empty())
        return true;
    const auto& first = m_waiting.begin()->first;
    return first.m_new_stream && priority < first.m_priority;
}

void wait_queue::add(const waiting_request& request)
{
    m_waiting[key_of(request)] = request;
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

void wait_queue::on_released(double tokens, time_point now, bool rate_limited)
{
    while (!m_released.empty() && now - m_released.front().m_time > rate_window)
        m_released.pop_front();
    m_released.push_back({now, tokens, rate_limited});
}

std::chrono::milliseconds wait_queue::assign_retry_after(
    double tokens, time_point now, std::uint32_t priority, double urgent_tokens_per_second)
{
    double waiting_tokens = 0;
    for (const auto& [key, request] : m_waiting)
        waiting_tokens += key.m_priority <= priority ? request.m_tokens : 0;
    auto scheduled = now + min_retry_after;
    for (const auto& [other, time] : m_last_retry_times)
    {
        if (other <= priority)
            scheduled = std::max(scheduled, time);
    }
    // A limit decides anew about a request that returns.
    const double released = released_tokens_per_second(now, true);
    const double rate = released - urgent_tokens_per_second;
    if (rate > 0)
    {
        scheduled = std::max(scheduled, now + from_seconds(waiting_tokens / rate));
        scheduled += from_seconds(tokens / rate);
    }
    else if (released > 0)
    {
        // More urgent requests take all that is released; their burst may end meanwhile.
        scheduled =
            std::max(scheduled, now + max_retry_after / 2) + from_seconds(tokens / released);
    }
    else
        scheduled += min_retry_after / 4; // Unknown when capacity becomes free.
    scheduled = std::min(scheduled, now + max_retry_after);
    m_last_retry_times[priority] = scheduled;
    return std::chrono::duration_cast<std::chrono::milliseconds>(scheduled - now);
}

} // namespace fulmaryard
