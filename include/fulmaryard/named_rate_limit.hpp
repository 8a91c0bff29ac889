#ifndef FULMARYARD_NAMED_RATE_LIMIT_HPP
#define FULMARYARD_NAMED_RATE_LIMIT_HPP

#include <chrono>
#include <compare>

namespace fulmaryard
{

/// The request rate that an endpoint names in its answers, and whether it still does.
///
/// Answers arrive in another order than they were written. An answer was certainly written after
/// another one if its request was sent after the other had arrived; where the order is unknown, the
/// lower rate holds and the limit stays. Does no I/O.
class named_rate_limit
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// An answer that arrived at `received`, to a request sent at `sent`, names `rate` requests per
    /// second.
    void on_named(double rate, time_point sent, time_point received);

    /// An answer to a request sent at `sent` names no limit.
    void on_unnamed(time_point sent);

    /// Takes over what another router knows, in the time of this one's clock.
    void merge(const named_rate_limit& other);

    bool in_force() const { return m_named > m_cleared; }
    double rate() const { return m_rate; } ///< Requests per second.

    time_point confirmed() const { return m_confirmed; }
    time_point named() const { return m_named; }
    time_point cleared() const { return m_cleared; }

    /// A limit of known times, as another router reports it.
    static named_rate_limit
    of(double rate, time_point confirmed, time_point named, time_point cleared);

    friend auto operator<=>(const named_rate_limit&, const named_rate_limit&) = default;

private:
    double m_rate{0};
    time_point m_confirmed; ///< Arrival of the last answer that named this rate or a lower one.
    time_point m_named;     ///< Arrival of the last answer that named a limit.
    time_point m_cleared;   ///< Send time of the last request whose answer named none.
};

} // namespace fulmaryard

#endif
