#ifndef FULMARYARD_COMPLETION_REQUEST_HPP
#define FULMARYARD_COMPLETION_REQUEST_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// The parsed and validated body of a completion or chat completion request.
struct completion_request
{
    std::string m_model;
    std::string m_prompt;
    std::uint32_t m_max_tokens{0}; ///< Token limit of the response; 0 if absent.
    bool m_stream{false};

    friend auto operator<=>(const completion_request&, const completion_request&) = default;
};

/// Parses a JSON request body. For a chat, the prompt consists of the messages, formatted as
/// "role: content" and joined by newlines. Unknown fields are ignored. Returns `invalid_request`
/// with a message that names the first invalid field.
absl::StatusOr<completion_request> parse_completion_request(std::string_view body, bool chat);

/// Counts the words of a prompt, separated by ASCII white space. Token limits use this estimate
/// until the engine has tokenized the prompt.
std::uint32_t count_words(std::string_view text);

} // namespace fulmaryard

#endif
