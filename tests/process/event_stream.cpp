#include "process/event_stream.hpp"

#include "http_conversion_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <utility>

namespace fulmaryard::process_tests
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct event_stream::state
{
    // Runs one asynchronous operation to completion. Beast applies deadlines only to asynchronous
    // operations.
    template <typename Operation>
    absl::Status
    run(std::chrono::milliseconds deadline, dispatch_progress progress, Operation start)
    {
        beast::error_code result;
        m_stream.expires_after(deadline);
        start([&result](const beast::error_code& error, auto&&...) { result = error; });
        m_io.restart();
        m_io.run();
        if (!result)
            return absl::OkStatus();
        const auto kind = result == beast::error::timeout ? failure_kind::deadline_exceeded
                                                          : failure_kind::endpoint_lost;
        return make_failure(kind, result.message(), progress);
    }

    absl::Status read_some(std::chrono::milliseconds deadline)
    {
        return run(
            deadline, dispatch_progress::sent,
            [this](auto done)
            { http::async_read_some(m_stream, m_buffer, m_parser, std::move(done)); });
    }

    asio::io_context m_io{1};
    beast::tcp_stream m_stream{m_io};
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    std::string m_text; ///< Received bytes not yet returned as events.
    std::string m_last_id;
};

event_stream::event_stream(std::unique_ptr<state> opened) : m_state(std::move(opened)) {}
event_stream::~event_stream() = default;
event_stream::event_stream(event_stream&& other) noexcept = default;
event_stream& event_stream::operator=(event_stream&& other) noexcept = default;

absl::StatusOr<event_stream> event_stream::open(
    const std::string& address, const http_request& request, std::chrono::milliseconds deadline)
{
    const auto endpoint = parse_address(address);
    if (!endpoint.ok())
        return endpoint.status();
    auto opened = std::make_unique<state>();
    opened->m_parser.body_limit(boost::none);
    http::request<http::string_body> message;
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.version(11);
    set_fields(message, request.m_fields);
    message.set(http::field::host, address);
    message.keep_alive(false);
    message.body() = request.m_body;
    message.prepare_payload();
    beast::tcp_stream& stream = opened->m_stream;
    absl::Status status = opened->run(
        deadline, dispatch_progress::not_sent,
        [&](auto done) { stream.async_connect(*endpoint, std::move(done)); });
    if (status.ok())
    {
        status = opened->run(
            deadline, dispatch_progress::sent,
            [&](auto done) { http::async_write(stream, message, std::move(done)); });
    }
    if (status.ok())
    {
        status = opened->run(
            deadline, dispatch_progress::sent,
            [&](auto done) {
                http::async_read_header(
                    stream, opened->m_buffer, opened->m_parser, std::move(done));
            });
    }
    if (!status.ok())
        return status;
    return event_stream(std::move(opened));
}

unsigned event_stream::status() const
{
    return m_state->m_parser.get().result_int();
}

const std::string& event_stream::last_id() const
{
    return m_state->m_last_id;
}

absl::StatusOr<std::optional<server_event>> event_stream::next(std::chrono::milliseconds deadline)
{
    const auto end_time = std::chrono::steady_clock::now() + deadline;
    std::string& text = m_state->m_text;
    while (true)
    {
        text += std::exchange(m_state->m_parser.get().body(), {});
        const std::size_t end = text.find("\n\n");
        if (end != std::string::npos)
        {
            server_event event;
            event.m_received = std::chrono::steady_clock::now();
            std::istringstream lines(text.substr(0, end));
            text.erase(0, end + 2);
            bool has_data = false;
            for (std::string line; std::getline(lines, line);)
            {
                if (line.compare(0, 4, "id: ") == 0)
                    event.m_id = line.substr(4);
                if (line.compare(0, 6, "data: ") == 0)
                {
                    event.m_data += (has_data ? "\n" : "") + line.substr(6);
                    has_data = true;
                }
            }
            if (!event.m_id.empty())
                m_state->m_last_id = event.m_id;
            if (!has_data && event.m_id.empty())
                continue; // Keep-alive comment.
            return event;
        }
        if (m_state->m_parser.is_done())
            return std::nullopt;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end_time - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            return make_failure(
                failure_kind::deadline_exceeded, "no event", dispatch_progress::sent);
        if (const absl::Status status = m_state->read_some(left); !status.ok())
            return status;
    }
}

absl::StatusOr<http_response> event_stream::read_response(std::chrono::milliseconds deadline)
{
    const absl::Status status = m_state->run(
        deadline, dispatch_progress::sent,
        [this](auto done) {
            http::async_read(
                m_state->m_stream, m_state->m_buffer, m_state->m_parser, std::move(done));
        });
    if (!status.ok())
        return status;
    const auto& message = m_state->m_parser.get();
    return http_response{message.result_int(), copy_fields(message.base()), message.body()};
}

} // namespace fulmaryard::process_tests
