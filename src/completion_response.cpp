#include "completion_response.hpp"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <utility>

namespace fulmaryard
{

namespace json = boost::json;

namespace
{

/// Returns `text` as a JSON string literal.
std::string quote_json(std::string_view text)
{
    return json::serialize(json::string_view(text.data(), text.size()));
}

} // namespace

completion_response::completion_response(
    bool chat, std::string_view request_id, std::string model, std::int64_t created)
    : m_chat(chat),
      m_id(fmt::format("{}-{}", chat ? "chatcmpl" : "cmpl", request_id)),
      m_model(std::move(model)),
      m_created(created)
{
}

std::string completion_response::event(
    std::string_view id, const std::string& choice, std::string_view finish_reason) const
{
    return fmt::format(
        "id: {}\ndata: {{\"id\":{},\"object\":\"{}\",\"created\":{},\"model\":{},"
        "\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n",
        id, quote_json(m_id), m_chat ? "chat.completion.chunk" : "text_completion", m_created,
        quote_json(m_model), choice, finish_reason.empty() ? "null" : quote_json(finish_reason));
}

std::string completion_response::first_event(std::string_view id) const
{
    return event(id, m_chat ? R"("delta":{"role":"assistant","content":""})" : R"("text":"")", "");
}

std::string completion_response::token_event(std::string_view id, std::string_view text) const
{
    const std::string content = quote_json(text);
    return event(
        id,
        m_chat ? fmt::format(R"("delta":{{"content":{}}})", content)
               : fmt::format(R"("text":{})", content),
        "");
}

std::string
completion_response::final_events(std::string_view id, std::string_view finish_reason) const
{
    return event(id, m_chat ? R"("delta":{})" : R"("text":"")", finish_reason) + "data: [DONE]\n\n";
}

std::string completion_response::body(
    std::string_view text, std::string_view finish_reason, std::uint32_t prompt_tokens,
    std::uint32_t completion_tokens) const
{
    json::object choice{{"index", 0}, {"finish_reason", std::string(finish_reason)}};
    const json::string content(text.data(), text.size());
    if (m_chat)
        choice["message"] = json::object{{"role", "assistant"}, {"content", content}};
    else
        choice["text"] = content;
    const json::object response_json{
        {"id", m_id},
        {"object", m_chat ? "chat.completion" : "text_completion"},
        {"created", m_created},
        {"model", m_model},
        {"choices", json::array{std::move(choice)}},
        {"usage",
         {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", completion_tokens},
          {"total_tokens", std::uint64_t{prompt_tokens} + completion_tokens}}}};
    return json::serialize(response_json);
}

std::string error_event(std::string_view error_body)
{
    return fmt::format("data: {}\n\n", error_body);
}

} // namespace fulmaryard
