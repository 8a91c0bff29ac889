#include <fulmaryard/crossing_budget.hpp>

#include <algorithm>

namespace fulmaryard
{

void crossing_budget::grow(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_grown).count();
    const double most = m_bytes_per_second * std::chrono::duration<double>(longest_saving).count();
    m_bytes = std::min(m_bytes + seconds * m_bytes_per_second, most);
    m_grown = now;
}

bool crossing_budget::may_cross(time_point now)
{
    grow(now);
    return m_bytes_per_second > 0 && m_bytes >= 0;
}

void crossing_budget::take(double bytes, time_point now)
{
    grow(now);
    m_bytes -= bytes;
}

} // namespace fulmaryard
