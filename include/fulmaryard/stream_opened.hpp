#ifndef FULMARYARD_STREAM_OPENED_HPP
#define FULMARYARD_STREAM_OPENED_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Stage to owner: the stage accepts the plan of this epoch.
struct stream_opened
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_stage{0};
    std::uint32_t m_next_position{0}; ///< First position that the stage has not run.

    friend auto operator<=>(const stream_opened&, const stream_opened&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_stage, m_next_position);
    }
};

} // namespace fulmaryard

#endif
