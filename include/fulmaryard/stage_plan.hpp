#ifndef FULMARYARD_STAGE_PLAN_HPP
#define FULMARYARD_STAGE_PLAN_HPP

#include <fulmaryard/stage_assignment.hpp>

#include <chrono>
#include <vector>

namespace fulmaryard
{

/// The endpoints selected for the stages of a stream, in pipeline order.
struct stage_plan
{
    std::vector<stage_assignment> m_stages;
    std::chrono::nanoseconds m_expected_wait{0}; ///< Sum over all stages and links.
};

} // namespace fulmaryard

#endif
