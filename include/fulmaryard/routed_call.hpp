#ifndef FULMARYARD_ROUTED_CALL_HPP
#define FULMARYARD_ROUTED_CALL_HPP

#include <fulmaryard/http_message.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A caller's request with the properties that the router's decisions depend on.
struct routed_call
{
    std::string m_id; ///< Attempt id set by the caller; endpoints echo it.
    std::string m_host;
    std::string m_key;
    std::chrono::milliseconds m_deadline{0}; ///< How long the caller waits; 0: not given.
    std::uint64_t m_prompt_tokens{0};
    std::uint64_t m_max_answer_tokens{0};
    std::uint64_t m_expected_answer_tokens{0}; ///< The caller's estimate; 0: not given.
    std::string m_prompt_prefix; ///< Prompt prefix that the caller names; the same when it retries.
    /// Ids of the parts of the prompt that other requests share, in order; empty if none are named.
    std::vector<std::string> m_shared_parts;
    std::optional<std::uint64_t> m_resume_after; ///< Last event id that the caller has.
    http_request m_request; ///< As received, without hop-by-hop fields and the key.

    friend auto operator<=>(const routed_call&, const routed_call&) = default;
};

} // namespace fulmaryard

#endif
