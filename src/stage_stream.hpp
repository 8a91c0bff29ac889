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

/// One stage of one stream, as a stage node holds it.
struct stage_stream
{
    using time_point = std::chrono::steady_clock::time_point;

    open_stream m_open;       ///< The plan in force.
    std::uint64_t m_order{0}; ///< Smaller for streams opened earlier.
    time_point m_owner_seen;  ///< Last message of the owner in force.
    time_point m_input_seen;  ///< Last input, or pull for it.

    bool m_closed{false};                  ///< Kept only for attaches and late messages.
    std::optional<failure_kind> m_refused; ///< Why the open was refused; only with m_closed.
    time_point m_closed_at;

    std::uint64_t m_session{0};         ///< 0 without engine state.
    std::uint32_t m_session_epoch{0};   ///< Epoch number under which the session began.
    std::optional<failure_kind> m_lost; ///< Set when the session was lost.
    std::uint64_t m_run{0};             ///< Run in flight; 0 for none.
    std::uint32_t m_run_positions{0};   ///< Inputs of that run, except for a prompt.
    bool m_run_samples{false};

    std::uint32_t m_next{0};          ///< First position not run.
    std::uint32_t m_prompt{0};        ///< Positions of the prompt; 0 while unknown.
    std::deque<std::string> m_inputs; ///< From m_next on, those of the run in flight included.
    std::vector<token> m_tokens;      ///< Generated tokens known here, from index 0.
    bool m_finished{false};           ///< The last of m_tokens ends the answer.

    std::uint32_t m_outputs_first{0};
    std::vector<std::string> m_outputs;
    std::size_t m_output_bytes{0};

    /// Other stages whose known tokens the last stage has not heard under the plan in force. It
    /// does not sample until this is empty: one of them may have consumed a token that this stage
    /// would sample again.
    std::set<std::uint32_t> m_unheard;
    bool m_consulted{false};
    std::optional<engine_result> m_held_sample; ///< Returned while m_unheard was not empty.

    std::vector<pull> m_early_pulls; ///< Of a higher epoch than m_open's; answered once opened.

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
    /// Position whose output yields the first token that is not known here.
    std::uint32_t sampling_position() const
    {
        return m_prompt - 1 + static_cast<std::uint32_t>(m_tokens.size());
    }
};

} // namespace fulmaryard

#endif
