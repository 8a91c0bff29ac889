#ifndef FULMARYARD_SOAK_PLAN_HPP
#define FULMARYARD_SOAK_PLAN_HPP

#include "soak/soak_fault.hpp"

#include <cstdint>
#include <vector>

namespace fulmaryard::soak
{

/// Faults drawn at random from a seed, sorted by start time.
struct soak_plan
{
    bool m_planned_only{false}; ///< Only restarts, configuration changes and endpoints that leave.
    std::vector<fault> m_faults;

    friend auto operator<=>(const soak_plan&, const soak_plan&) = default;
};

/// Draws the plan of `seed` for a run of `duration`. Deterministic: equal arguments give equal
/// plans.
soak_plan make_plan(
    std::uint64_t seed, std::chrono::milliseconds duration, std::size_t routers,
    std::size_t endpoints);

} // namespace fulmaryard::soak

#endif
