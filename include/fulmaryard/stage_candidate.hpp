#ifndef FULMARYARD_STAGE_CANDIDATE_HPP
#define FULMARYARD_STAGE_CANDIDATE_HPP

#include <chrono>

namespace fulmaryard
{

struct endpoint;

/// An endpoint eligible for a stage, with the estimated cost of selecting it.
struct stage_candidate
{
    const endpoint* m_endpoint{nullptr};
    std::chrono::nanoseconds m_wait{0};      ///< Estimated queueing time of a step.
    std::chrono::nanoseconds m_link_cost{0}; ///< One-way, from the previous stage.
    std::chrono::nanoseconds m_cost{0};      ///< Wait plus link, less the prefix cache discount.
    /// Same as `m_cost`, but counts only the work sent by this entry, which is known without delay.
    std::chrono::nanoseconds m_local_cost{0};
};

} // namespace fulmaryard

#endif
