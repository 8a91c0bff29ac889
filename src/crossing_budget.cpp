#include <fulmaryard/crossing_budget.hpp>

#include <algorithm>

namespace fulmaryard
{

void crossing_budget::refill(time_point now)
{
    const double elapsed_seconds = std::chrono::duration<double>(now - m_refilled_at).count();
    const double capacity =
        m_bytes_per_second * std::chrono::duration<double>(burst_duration).count();
    m_balance_bytes = std::min(m_balance_bytes + elapsed_seconds * m_bytes_per_second, capacity);
    m_refilled_at = now;
}

bool crossing_budget::may_cross(time_point now)
{
    refill(now);
    return m_bytes_per_second > 0 && m_balance_bytes >= 0;
}

void crossing_budget::charge(double bytes, time_point now)
{
    refill(now);
    m_balance_bytes -= bytes;
}

} // namespace fulmaryard
