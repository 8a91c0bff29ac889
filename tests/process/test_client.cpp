#include "process/test_client.hpp"

#include <fulmaryard/failure.hpp>

#include <boost/json/parse.hpp>
#include <fmt/core.h>

#include <thread>
#include <utility>

namespace fulmaryard::process_tests
{

namespace json = boost::json;

namespace
{

// Appends events to `answer` until the response ends or the connection fails.
absl::Status
read_events(event_stream& stream, streamed_answer& answer, std::chrono::milliseconds idle_timeout)
{
    while (true)
    {
        auto event = stream.next(idle_timeout);
        if (!event.ok())
            return event.status();
        if (!*event)
        {
            return make_failure(
                failure_kind::endpoint_lost, "response ended without [DONE]",
                dispatch_progress::sent);
        }
        if ((*event)->m_data == "[DONE]")
        {
            answer.m_done = true;
            return absl::OkStatus();
        }
        answer.m_text += test_client::delta_text((*event)->m_data);
        answer.m_events.push_back(std::move(**event));
    }
}

} // namespace

absl::StatusOr<http_response>
test_client::send(const http_request& request, std::chrono::milliseconds deadline) const
{
    auto stream = event_stream::open(m_address, request, deadline);
    if (!stream.ok())
        return stream.status();
    return stream->read_response(deadline);
}

absl::StatusOr<http_response>
test_client::get(const std::string& target, std::chrono::milliseconds deadline) const
{
    return send({"GET", target, {}, {}}, deadline);
}

absl::StatusOr<http_response> test_client::post(
    const std::string& target, const std::string& body, std::vector<http_field> fields) const
{
    fields.push_back({"Content-Type", "application/json"});
    return send({"POST", target, std::move(fields), body});
}

json::value test_client::get_json(const std::string& target) const
{
    const auto response = get(target);
    json::error_code error;
    json::value value;
    if (response.ok())
        value = json::parse(response->m_body, error);
    return error ? json::value() : value;
}

absl::StatusOr<streamed_answer> test_client::complete(
    const std::vector<std::string>& addresses, const http_request& request,
    std::size_t reconnections, std::chrono::milliseconds idle_timeout)
{
    streamed_answer answer;
    std::string last_id;
    absl::Status status;
    for (std::size_t attempt = 0; attempt <= reconnections; ++attempt)
    {
        answer.m_reconnections = attempt;
        http_request sent = request;
        if (!last_id.empty())
            sent.m_fields.push_back({"Last-Event-ID", last_id});
        auto stream = event_stream::open(addresses[attempt % addresses.size()], sent, idle_timeout);
        if (!stream.ok())
        {
            status = stream.status();
            // Without a delay, an address that refuses connections would exhaust all attempts at
            // once.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        if (stream->status() != 200)
        {
            const auto response = stream->read_response(idle_timeout);
            return make_failure(
                failure_kind::endpoint_failed,
                fmt::format(
                    "status {}: {}", stream->status(), response.ok() ? response->m_body : ""),
                dispatch_progress::sent);
        }
        status = read_events(*stream, answer, idle_timeout);
        if (status.ok())
            return answer;
        if (!stream->last_id().empty())
            last_id = stream->last_id();
    }
    return status;
}

std::string test_client::delta_text(const std::string& data)
{
    json::error_code error;
    const json::value chunk = json::parse(data, error);
    if (error)
        return {};
    for (const char* pointer : {"/choices/0/delta/content", "/choices/0/text"})
    {
        const json::value* text = chunk.find_pointer(pointer, error);
        if (text != nullptr && text->is_string())
            return std::string(text->get_string().data(), text->get_string().size());
    }
    return {};
}

} // namespace fulmaryard::process_tests
