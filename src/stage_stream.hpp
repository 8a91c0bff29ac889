#ifndef FULMARYARD_STAGE_STREAM_HPP
#define FULMARYARD_STAGE_STREAM_HPP

#include <fulmaryard/engine_result.hpp>
#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/open_stream.hpp>
#include <fulmaryard/pull.hpp>
#include <fulmaryard/token.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

/// State of one stream in a stage node.
struct stage_stream
{
    using time_point = std::chrono::steady_clock::time_point;

    open_stream m_open;               ///< Latest open, with the current plan and epoch.
    std::uint64_t m_session_order{0}; ///< Increases with each new session.
    time_point m_last_owner_time;     ///< Time of the last message from the current owner.
    time_point m_last_input_time;     ///< Time of the last input, run result or pull of inputs.

    bool m_closed{false}; ///< Kept only to answer attaches and late messages.
    std::optional<failure_kind> m_refusal_reason; ///< Why the open was refused; implies m_closed.
    time_point m_closed_at;

    std::uint64_t m_session{0};                ///< Engine session id; 0 for none.
    std::uint32_t m_session_epoch{0};          ///< Epoch number under which the session began.
    std::optional<failure_kind> m_loss_reason; ///< Why the session was lost, if it was.
    std::uint64_t m_run{0};                    ///< Id of the run in flight; 0 for none.
    std::uint32_t m_run_positions{0};          ///< Positions of that run, without the prompt.
    bool m_run_samples{false};                 ///< That run must return a sampled token.

    std::uint32_t m_next_position{0}; ///< First position without a result.
    std::uint32_t m_prompt{0};        ///< Prompt positions; 0 while unknown.
    std::deque<std::string> m_inputs; ///< Received, from m_next_position; includes the run.
    std::vector<token> m_tokens;      ///< Known generated tokens, from index 0.
    bool m_finished{false};           ///< The last of m_tokens completes the response.

    std::uint32_t m_first_output_position{0}; ///< Position of the first retained output.
    std::vector<std::string> m_outputs;       ///< Retained so that they can be resent.
    std::size_t m_output_bytes{0};

    /// Last stage only: stages that have not yet reported their known tokens under the current
    /// plan. No sample is accepted until this is empty, because one of them may have consumed a
    /// token that this stage would sample again.
    std::set<std::uint32_t> m_unreported_stages;
    bool m_token_reports_complete{false};           ///< All required token reports have arrived.
    std::optional<engine_result> m_deferred_sample; ///< Arrived before all token reports.

    std::vector<pull> m_early_pulls; ///< For a later epoch; answered after its open.

    bool is_first() const { return m_open.m_stage == 0; }
    bool is_last() const { return m_open.m_stage + 1 == m_open.m_plan.size(); }
    const stage_assignment& previous() const
    {
        const std::size_t count = m_open.m_plan.size();
        return m_open.m_plan[(m_open.m_stage + count - 1) % count];
    }
    const stage_assignment& following() const
    {
        return m_open.m_plan[(m_open.m_stage + 1) % m_open.m_plan.size()];
    }
    /// Position whose output is sampled for the first unknown token.
    std::uint32_t sampling_position() const
    {
        return m_prompt - 1 + static_cast<std::uint32_t>(m_tokens.size());
    }
};

} // namespace fulmaryard

#endif
