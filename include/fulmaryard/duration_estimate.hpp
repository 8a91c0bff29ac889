#ifndef FULMARYARD_DURATION_ESTIMATE_HPP
#define FULMARYARD_DURATION_ESTIMATE_HPP

#include <chrono>
#include <compare>
#include <cstddef>

namespace fulmaryard
{

/// A duration and the number of observations that it rests on.
struct duration_estimate
{
    std::chrono::milliseconds m_duration{0};
    std::size_t m_observations{0}; ///< 0: computed from what was announced, not observed.
    /// Whether observations began so early that longer durations would have been seen.
    bool m_settled{false};

    friend auto operator<=>(const duration_estimate&, const duration_estimate&) = default;
};

} // namespace fulmaryard

#endif
