#ifndef FULMARYARD_STAGE_CANDIDATE_HPP
#define FULMARYARD_STAGE_CANDIDATE_HPP

#include <chrono>

namespace fulmaryard
{

struct endpoint;

/// An endpoint that fits a stage, with what its use would cost.
struct stage_candidate
{
    const endpoint* m_endpoint{nullptr};
    std::chrono::nanoseconds m_wait{0}; ///< Until it would run the stream's next step.
    std::chrono::nanoseconds m_link{0}; ///< From the previous stage.
    std::chrono::nanoseconds m_cost{0}; ///< Wait and link, less the preference for a known prefix.
    /// Like the cost, with this entry's own work only, which is current.
    std::chrono::nanoseconds m_own_cost{0};
};

} // namespace fulmaryard

#endif
