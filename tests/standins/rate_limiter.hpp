#ifndef FULMARYARD_RATE_LIMITER_HPP
#define FULMARYARD_RATE_LIMITER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace fulmaryard::standins
{

/// Token bucket with a capacity of one second's tokens.
class rate_limiter
{
public:
    using clock = std::chrono::steady_clock;

    /// A rate of 0 disables the limit.
    explicit rate_limiter(std::uint64_t per_second)
        : m_rate(static_cast<double>(per_second)),
          m_tokens(m_rate)
    {
    }

    /// Takes one token; false when none is left.
    bool take(clock::time_point now)
    {
        if (m_rate == 0)
            return true;
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_updated = now;
        m_tokens = std::min(m_rate, m_tokens + elapsed.count() * m_rate);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_rate;
    double m_tokens;
    clock::time_point m_updated{clock::now()};
};

} // namespace fulmaryard::standins

#endif
