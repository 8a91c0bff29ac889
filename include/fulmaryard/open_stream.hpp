#ifndef FULMARYARD_OPEN_STREAM_HPP
#define FULMARYARD_OPEN_STREAM_HPP

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

/// Owner to each stage: starts a stream or, with a higher epoch, replaces its plan.
struct open_stream
{
    stream_id m_stream;
    epoch m_epoch;
    std::vector<stage_assignment> m_plan; ///< Stages in layer order.
    std::uint32_t m_stage{0};             ///< Index of the receiver in `m_plan`.
    std::string m_model;
    std::string m_account;
    std::string m_request_id;
    std::string m_owner_address; ///< Destination of tokens and replies to the owner.
    /// Prompt text; sent to every stage, since a new owner may attach to the stream at any of them.
    std::string m_prompt;
    std::vector<token> m_known_tokens; ///< Generated tokens the owner has; sent to every stage.
    /// Engine sessions started under a lower epoch number are discarded together with their tokens.
    std::uint32_t m_min_session_epoch{0};
    std::uint32_t m_max_tokens{0}; ///< Maximum number of generated tokens.
    std::uint32_t m_priority{0};   ///< Higher values run first.
    std::uint64_t m_generation{0}; ///< Configuration generation the plan was made under.

    friend auto operator<=>(const open_stream&, const open_stream&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_stream, m_epoch, m_plan, m_stage, m_model, m_account, m_request_id, m_owner_address,
            m_prompt, m_known_tokens, m_min_session_epoch, m_max_tokens, m_priority, m_generation);
    }
};

} // namespace fulmaryard

#endif
