#ifndef FULMARYARD_STREAM_ATTACHED_HPP
#define FULMARYARD_STREAM_ATTACHED_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stage_assignment.hpp>
#include <fulmaryard/stream_id.hpp>
#include <fulmaryard/token.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Reply to `attach_stream`: the state a new owner needs to take over the stream. `m_epoch` is the
/// current epoch at the stage.
struct stream_attached
{
    stream_id m_stream;
    epoch m_epoch;
    std::vector<stage_assignment> m_plan;
    std::string m_model;
    std::string m_prompt;
    std::vector<token> m_tokens;          ///< Generated tokens known to the stage.
    std::uint32_t m_min_session_epoch{0}; ///< See `open_stream`.
    std::uint32_t m_max_tokens{0};
    std::uint32_t m_priority{0};
    bool m_finished{false};

    friend auto operator<=>(const stream_attached&, const stream_attached&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_stream, m_epoch, m_plan, m_model, m_prompt, m_tokens, m_min_session_epoch,
            m_max_tokens, m_priority, m_finished);
    }
};

} // namespace fulmaryard

#endif
