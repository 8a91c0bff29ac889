#ifndef FULMARYARD_STAGE_FAILED_HPP
#define FULMARYARD_STAGE_FAILED_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Stage to owner: the stage in `m_stage` cannot go on.
struct stage_failed
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_stage{0}; ///< The sender itself, or a neighbour it cannot reach.
    failure_kind m_reason{failure_kind::internal};

    friend auto operator<=>(const stage_failed&, const stage_failed&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_stage, m_reason);
    }
};

} // namespace fulmaryard

#endif
