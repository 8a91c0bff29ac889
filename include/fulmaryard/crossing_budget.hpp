#ifndef FULMARYARD_CROSSING_BUDGET_HPP
#define FULMARYARD_CROSSING_BUDGET_HPP

#include <chrono>

namespace fulmaryard
{

/// Token bucket for the bytes that one router's paths send between failure domains.
///
/// A path that spans two domains transfers the activations of every token over the network pipe
/// between them, which all requests share and which carries one transfer at a time. When a domain
/// without spare capacity loses endpoints and all of its requests take paths across domains, the
/// pipe saturates and stalls every stream that uses it. A crossing is admitted while the balance
/// is not negative, and may overdraw it. Does no I/O. Not thread-safe.
class crossing_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Limit of the balance, as the time in which it accrues at the full rate.
    static constexpr std::chrono::milliseconds burst_duration{500};

    /// Sets the refill rate. Crossings are refused while it is 0, the initial value.
    void set(double bytes_per_second) { m_bytes_per_second = bytes_per_second; }

    /// Whether a new path may cross between failure domains at `now`.
    bool may_cross(time_point now);

    /// Deducts the `bytes` that an admitted path is expected to send across domains.
    void charge(double bytes, time_point now);

private:
    void refill(time_point now);

    double m_bytes_per_second{0};
    double m_balance_bytes{0}; ///< Balance; negative after an overdraft.
    time_point m_refilled_at;  ///< Time of the last refill.
};

} // namespace fulmaryard

#endif
