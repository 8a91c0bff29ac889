#ifndef FULMARYARD_CROSSING_BUDGET_HPP
#define FULMARYARD_CROSSING_BUDGET_HPP

#include <chrono>

namespace fulmaryard
{

/// Bounds what one router sends over the pipes between failure domains, which all requests share.
///
/// A path that crosses between domains sends the activations of each token through such a pipe,
/// one transfer after another. Answers the loss of endpoints in a domain without room: when all
/// its requests took paths over two domains, the pipe would stall every stream that crosses it. A
/// crossing is allowed while the budget is not in debt and may put it in debt. Does no I/O. Not
/// thread-safe.
class crossing_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// What is saved up at most, in time at the full rate.
    static constexpr std::chrono::milliseconds longest_saving{500};

    /// Replaces the rate at which the budget grows.
    void set(double bytes_per_second) { m_bytes_per_second = bytes_per_second; }

    /// Whether a path may cross now.
    bool may_cross(time_point now);

    /// Takes what a path that crosses will send.
    void take(double bytes, time_point now);

private:
    void grow(time_point now);

    double m_bytes_per_second{0};
    double m_bytes{0}; ///< Below 0 when in debt.
    time_point m_grown;
};

} // namespace fulmaryard

#endif
