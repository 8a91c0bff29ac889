#include <fulmaryard/named_rate_limit.hpp>

#include <algorithm>

namespace fulmaryard
{

void named_rate_limit::on_named(double rate, time_point sent, time_point received)
{
    if (!in_force() || rate <= m_rate || sent >= m_confirmed)
    {
        m_rate = rate;
        m_confirmed = received;
    }
    m_named = std::max(m_named, received);
}

void named_rate_limit::on_unnamed(time_point sent)
{
    m_cleared = std::max(m_cleared, sent);
}

void named_rate_limit::merge(const named_rate_limit& other)
{
    if (other.m_confirmed > m_confirmed)
    {
        m_rate = other.m_rate;
        m_confirmed = other.m_confirmed;
    }
    m_named = std::max(m_named, other.m_named);
    m_cleared = std::max(m_cleared, other.m_cleared);
}

named_rate_limit
named_rate_limit::of(double rate, time_point confirmed, time_point named, time_point cleared)
{
    named_rate_limit limit;
    limit.m_rate = rate;
    limit.m_confirmed = confirmed;
    limit.m_named = named;
    limit.m_cleared = cleared;
    return limit;
}

} // namespace fulmaryard
