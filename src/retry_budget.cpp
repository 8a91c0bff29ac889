#include <fulmaryard/retry_budget.hpp>

namespace fulmaryard
{

retry_budget::second& retry_budget::counts_at(time_point now)
{
    const std::int64_t time =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto& current = m_seconds[static_cast<std::size_t>(time) % window_seconds];
    if (current.m_second != time)
        current = {time, 0, 0};
    return current;
}

void retry_budget::on_request(time_point now)
{
    ++counts_at(now).m_requests;
}

bool retry_budget::try_retry(time_point now)
{
    auto& current = counts_at(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto& past : m_seconds)
    {
        if (past.m_second + static_cast<std::int64_t>(window_seconds) <= current.m_second)
            continue;
        requests += past.m_requests;
        retries += past.m_retries;
    }
    if (retries >= requests * m_settings.m_percent / 100 + m_settings.m_floor)
        return false;
    ++current.m_retries;
    return true;
}

} // namespace fulmaryard
