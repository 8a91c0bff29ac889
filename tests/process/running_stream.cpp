#include "process/running_stream.hpp"

#include "process/test_client.hpp"

#include <fulmaryard/failure.hpp>

#include <boost/json/parse.hpp>
#include <fmt/core.h>

#include <stdexcept>
#include <utility>

namespace fulmaryard::process_tests
{

namespace json = boost::json;

running_stream::running_stream(const std::string& address, http_request request)
    : m_request(std::move(request))
{
    reconnect(address);
}

http_request running_stream::resume_request() const
{
    http_request resumed = m_request;
    if (!m_last_id.empty())
        resumed.m_fields.push_back({"Last-Event-ID", m_last_id});
    return resumed;
}

void running_stream::reconnect(const std::string& address)
{
    disconnect();
    auto opened = event_stream::open(address, resume_request(), m_token_deadline);
    if (!opened.ok())
        throw std::runtime_error(
            "cannot open the stream: " + std::string(message_of(opened.status())));
    m_events.emplace(*std::move(opened));
    if (m_events->status() != 200)
    {
        const auto response = m_events->read_response(m_token_deadline);
        throw std::runtime_error(fmt::format(
            "status {}: {}", m_events->status(), response.ok() ? response->m_body : ""));
    }
    read_event();
}

void running_stream::disconnect()
{
    m_events.reset();
}

void running_stream::read_event()
{
    auto event = m_events->next(m_token_deadline);
    if (!event.ok())
    {
        throw std::runtime_error(
            fmt::format("stream failed after {} tokens: {}", tokens(), message_of(event.status())));
    }
    if (!*event)
    {
        m_ended = true;
        return;
    }
    const server_event& received = **event;
    if (received.m_data == "[DONE]")
    {
        m_done = true;
        return;
    }
    m_text += test_client::delta_text(received.m_data);
    const json::value data = json::parse(received.m_data);
    if (const json::value* error = data.as_object().if_contains("error"))
        m_error = error->as_object();
    if (received.m_id.empty())
        return;
    const std::uint32_t before = tokens();
    auto locator = parse_stream_locator(received.m_id);
    if (!locator.ok())
        throw std::runtime_error("invalid event id " + received.m_id);
    m_locator = *std::move(locator);
    m_last_id = received.m_id;
    if (tokens() > before)
        m_last_token_time = received.m_received;
}

void running_stream::read_tokens(std::uint32_t count)
{
    while (tokens() < count && !m_ended)
        read_event();
}

void running_stream::read_to_end()
{
    while (!m_ended)
        read_event();
}

} // namespace fulmaryard::process_tests
