#ifndef FULMARYARD_STREAM_REFUSED_HPP
#define FULMARYARD_STREAM_REFUSED_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Stage to owner: the stage rejects the plan and will never run it in this epoch.
struct stream_refused
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_stage{0};
    failure_kind m_reason{failure_kind::internal};

    friend auto operator<=>(const stream_refused&, const stream_refused&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_stage, m_reason);
    }
};

} // namespace fulmaryard

#endif
