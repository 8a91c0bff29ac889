#ifndef FULMARYARD_COMPLETION_REQUEST_HPP
#define FULMARYARD_COMPLETION_REQUEST_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// The body of a completion or chat completion, read and bounded.
struct completion_request
{
    std::string m_model;
    std::string m_prompt;
    std::uint32_t m_max_tokens{0}; ///< 0: not given.
    bool m_stream{false};

    friend auto operator<=>(const completion_request&, const completion_request&) = default;
};

/// Reads a JSON body. The prompt of a chat is its messages, one "role: content" a line. Unknown
/// fields are ignored; `invalid_request` names the first field that is wrong.
absl::StatusOr<completion_request> parse_completion_request(std::string_view body, bool chat);

/// Number of words of a prompt: what token limits count before the engine has seen it.
std::uint32_t count_words(std::string_view text);

} // namespace fulmaryard

#endif
