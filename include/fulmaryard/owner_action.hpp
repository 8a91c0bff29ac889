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

/// Give consecutive tokens to the caller; each index is delivered once and in order.
struct deliver_tokens
{
    std::uint32_t m_first_index{0};
    std::vector<token> m_tokens;
    bool m_finished{false};

    friend bool operator==(const deliver_tokens&, const deliver_tokens&) = default;
};

/// Choose another endpoint for one stage and call `stream_owner::replace_stage`, or
/// `stream_owner::fail` when there is none. With `m_whole_plan` every stage is chosen anew and
/// `stream_owner::replace_plan` is called.
struct choose_replacement
{
    std::size_t m_stage{0};
    std::vector<std::string> m_excluded; ///< Process ids that failed or refused.
    bool m_whole_plan{false};

    friend bool operator==(const choose_replacement&, const choose_replacement&) = default;
};

/// The stream has ended without the whole answer; the status is for the caller.
struct fail_stream
{
    absl::Status m_status;

    friend bool operator==(const fail_stream&, const fail_stream&) = default;
};

/// What a stream owner asks its process to do.
using owner_action = std::variant<send_message, deliver_tokens, choose_replacement, fail_stream>;

} // namespace fulmaryard

#endif
