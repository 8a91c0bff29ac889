#ifndef FULMARYARD_CANCEL_STREAM_HPP
#define FULMARYARD_CANCEL_STREAM_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>

namespace fulmaryard
{

/// Owner to stages: discard the stream and cancel its work in the engine.
struct cancel_stream
{
    stream_id m_stream;
    epoch m_epoch;

    friend auto operator<=>(const cancel_stream&, const cancel_stream&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch);
    }
};

} // namespace fulmaryard

#endif
