#include <fulmaryard/wait_line.hpp>

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

double wait_line::released_per_second(time_point now) const
{
    double tokens = 0;
    for (const auto& released : m_released)
    {
        if (now - released.m_time <= rate_window)
            tokens += released.m_tokens;
    }
    return tokens / to_seconds(rate_window);
}

bool wait_line::worth_waiting(const waiting_request& request, time_point now)
{
    if (!m_first_asked)
        m_first_asked = now;
    if (now - *m_first_asked < rate_window)
        return m_waiting.size() < most_at_start;
    double ahead = request.m_tokens;
    for (const auto& [key, other] : m_waiting)
    {
        if (key < order_key{!request.m_returning, request.m_priority, request.m_id})
            ahead += other.m_tokens;
    }
    const double rate = released_per_second(now);
    return rate > 0 && now + from_seconds(ahead / rate) <= request.m_give_up_at;
}

void wait_line::add(const waiting_request& request)
{
    m_waiting[{!request.m_returning, request.m_priority, request.m_id}] = request;
}

void wait_line::remove(std::uint64_t id)
{
    std::erase_if(m_waiting, [id](const auto& entry) { return entry.second.m_id == id; });
}

std::optional<std::uint64_t> wait_line::next() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.begin()->second.m_id;
}

std::vector<std::uint64_t> wait_line::expired(time_point now) const
{
    std::vector<std::uint64_t> late;
    for (const auto& [key, request] : m_waiting)
    {
        if (now >= request.m_give_up_at)
            late.push_back(request.m_id);
    }
    return late;
}

void wait_line::on_released(double tokens, time_point now)
{
    while (!m_released.empty() && now - m_released.front().m_time > rate_window)
        m_released.pop_front();
    m_released.push_back({now, tokens});
}

std::chrono::milliseconds wait_line::promise_return(double tokens, time_point now)
{
    double waiting = 0;
    for (const auto& [key, request] : m_waiting)
        waiting += request.m_tokens;
    const double rate = released_per_second(now);
    const auto earliest = now + shortest_return;
    // Without a release rate the time at which capacity becomes free cannot be estimated.
    const auto after_line = rate > 0 ? now + from_seconds(waiting / rate) : now;
    const auto turn = rate > 0 ? from_seconds(tokens / rate) : shortest_return / 4;
    m_promised_until = std::max({m_promised_until, after_line, earliest}) + turn;
    m_promised_until = std::min(m_promised_until, now + longest_return);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_promised_until - now);
}

} // namespace fulmaryard
