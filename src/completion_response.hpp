#ifndef FULMARYARD_COMPLETION_RESPONSE_HPP
#define FULMARYARD_COMPLETION_RESPONSE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Formats the responses to one completion request, in the format of the completions API.
class completion_response
{
public:
    /// `created` is the Unix time in seconds.
    completion_response(
        bool chat, std::string_view request_id, std::string model, std::int64_t created);

    /// Server-sent events of a streamed response, each with the event id `id`. `final_events`
    /// includes the end marker.
    std::string first_event(std::string_view id) const;
    std::string token_event(std::string_view id, std::string_view text) const;
    std::string final_events(std::string_view id, std::string_view finish_reason) const;

    /// Returns the body of a response that is not streamed.
    std::string body(
        std::string_view text, std::string_view finish_reason, std::uint32_t prompt_tokens,
        std::uint32_t completion_tokens) const;

private:
    std::string
    event(std::string_view id, const std::string& choice, std::string_view finish_reason) const;

    bool m_chat;
    std::string m_id;
    std::string m_model;
    std::int64_t m_created;
};

/// Formats a server-sent event that reports an error in a stream that has already started.
std::string error_event(std::string_view error_body);

} // namespace fulmaryard

#endif
