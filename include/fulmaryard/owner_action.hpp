#ifndef FULMARYARD_OWNER_ACTION_HPP
#define FULMARYARD_OWNER_ACTION_HPP

#include <fulmaryard/send_message.hpp>
#include <fulmaryard/token.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmaryard
{

/// Sends consecutive tokens to the caller. Each index is delivered exactly once, in order.
struct deliver_tokens
{
    std::uint32_t m_first_index{0}; ///< Index in the stream of the first of m_tokens.
    std::vector<token> m_tokens;
    bool m_finished{false}; ///< The response ends after m_tokens.

    friend bool operator==(const deliver_tokens&, const deliver_tokens&) = default;
};

/// Requests another endpoint for one stage. The process answers with `stream_owner::replace_stage`,
/// or with `stream_owner::fail` if no endpoint is available. If `m_replace_plan` is set, it selects
/// endpoints for all stages and answers with `stream_owner::replace_plan`.
struct choose_replacement
{
    std::size_t m_stage{0};
    std::vector<std::string> m_excluded; ///< Ids of processes that failed or refused the stream.
    bool m_replace_plan{false};

    friend bool operator==(const choose_replacement&, const choose_replacement&) = default;
};

/// Ends the stream before the response is complete; `m_status` is returned to the caller.
struct fail_stream
{
    absl::Status m_status;

    friend bool operator==(const fail_stream&, const fail_stream&) = default;
};

/// Action that a stream owner returns for its process to carry out.
using owner_action = std::variant<send_message, deliver_tokens, choose_replacement, fail_stream>;

} // namespace fulmaryard

#endif
