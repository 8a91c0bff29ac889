#ifndef FULMARYARD_COMPLETION_RESPONSE_HPP
#define FULMARYARD_COMPLETION_RESPONSE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Formats the answers of one completion in the form that model API clients expect.
class completion_response
{
public:
    /// `created` is in seconds since 1970.
    completion_response(
        bool chat, std::string_view request_id, std::string model, std::int64_t created);

    /// Events of a stream, each with the event id `id`.
    std::string first_event(std::string_view id) const;
    std::string token_event(std::string_view id, std::string_view text) const;
    std::string final_events(std::string_view id, std::string_view finish_reason) const;

    /// The body of an answer that is not streamed.
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

/// An error in a stream that has begun.
std::string error_event(std::string_view error_body);

} // namespace fulmaryard

#endif
