#ifndef FULMARYARD_STAGE_FAILED_HPP
#define FULMARYARD_STAGE_FAILED_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Sent by a stage to the stream's owner: stage `m_stage` cannot continue.
struct stage_failed
{
    stream_id m_stream;
    epoch m_epoch;
    /// Index in the plan: the sender, a neighbour it cannot reach, or a stage with conflicting
    /// tokens.
    std::uint32_t m_stage{0};
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
