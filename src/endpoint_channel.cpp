#include "http_conversion_inl.hpp"
#include "late_reads.hpp"
#include "operation_deadline.hpp"
#include "response_parser_inl.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/endpoint_channel.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

// Maximum size of a response header. Endpoints send only a few short fields.
constexpr std::uint32_t max_header_bytes = 64 * 1024;

// Largest number of received bytes that are not parsed yet. It also limits what the parser itself
// does not, such as the extension of a chunk.
constexpr std::size_t max_buffered_bytes = 128 * 1024;

// Buffer size of one read of a response body. Events of a stream are much shorter.
constexpr std::size_t read_buffer_bytes = 8 * 1024;

// Used if the endpoint sends no keep-alive timeout.
constexpr std::chrono::milliseconds default_keep_alive_timeout{2'000};

// Idle connections are no longer reused from this long before the endpoint's keep-alive timeout
// expires, so that a request does not meet a connection that is being closed.
constexpr std::chrono::milliseconds keep_alive_margin{700};

absl::Status closed_failure()
{
    return make_failure(
        failure_kind::endpoint_lost, "the connection is closed", dispatch_progress::sent);
}

absl::Status late_failure()
{
    return make_failure(
        failure_kind::deadline_exceeded, "the response has not ended in time",
        dispatch_progress::sent);
}

absl::Status io_failure(const beast::error_code& error, dispatch_progress progress)
{
    auto kind = failure_kind::endpoint_lost;
    if (error == beast::error::timeout)
        kind = failure_kind::deadline_exceeded;
    else if (error == asio::error::connection_refused)
        kind = failure_kind::connection_refused;
    return make_failure(kind, error.message(), progress);
}

/// Reads the timeout from the value of a Keep-Alive field, which states it in seconds.
std::chrono::milliseconds parse_keep_alive_timeout(std::string_view keep_alive)
{
    constexpr std::string_view key = "timeout=";
    const auto at = keep_alive.find(key);
    if (at == std::string_view::npos)
        return default_keep_alive_timeout;
    std::uint32_t seconds = 0;
    const char* begin = keep_alive.data() + at + key.size();
    std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

struct endpoint_channel::state
{
    using operation = operation_deadline::operation;

    explicit state(const asio::any_io_executor& executor) : m_stream(executor), m_deadline(m_stream)
    {
    }

    /// Ends the deadline of an operation. Returns its error, or the time-out that ended it.
    beast::error_code finish(const beast::error_code& error)
    {
        const bool expired = m_deadline.stop();
        return error && expired ? beast::error::timeout : error;
    }

    beast::tcp_stream m_stream;
    operation_deadline m_deadline;
    beast::flat_buffer m_buffer{max_buffered_bytes};
    std::optional<response_parser<http::buffer_body>> m_parser;
    std::string m_address;
    std::chrono::milliseconds m_keep_alive_timeout{default_keep_alive_timeout};
    time_point m_reusable_until;
    late_reads m_late_reads; ///< Of the current response.
    bool m_open{false};
    bool m_response_complete{false}; ///< The last response was read completely.
    bool m_keep_alive{false};        ///< The last response allows the connection to be reused.
};

endpoint_channel::endpoint_channel(const asio::any_io_executor& executor)
    : m_state(std::make_unique<state>(executor))
{
}

endpoint_channel::~endpoint_channel() = default;

asio::awaitable<absl::Status> endpoint_channel::connect(std::string address, time_point deadline)
{
    m_state->m_address = std::move(address);
    const auto endpoint = parse_address(m_state->m_address);
    if (!endpoint.ok())
        co_return endpoint.status();
    m_state->m_deadline.start(state::operation::write, deadline);
    const auto [result] = co_await m_state->m_stream.async_connect(*endpoint, use_tuple);
    if (const auto error = m_state->finish(result))
        co_return io_failure(error, dispatch_progress::not_sent);
    m_state->m_open = true;
    beast::error_code ignored;
    m_state->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status>
endpoint_channel::send(const http_request& request, time_point deadline)
{
    return send(request, request.m_body, deadline);
}

asio::awaitable<absl::Status>
endpoint_channel::send(const http_request& request, std::string_view body, time_point deadline)
{
    m_state->m_response_complete = false;
    m_state->m_keep_alive = false;
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    set_fields(message, request.m_fields);
    message.body() = beast::span<const char>(body.data(), body.size());
    message.prepare_payload();
    m_state->m_deadline.start(state::operation::write, deadline);
    const auto [result, size] = co_await http::async_write(m_state->m_stream, message, use_tuple);
    if (const auto error = m_state->finish(result))
        co_return io_failure(error, dispatch_progress::sent);
    co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<http_response>> endpoint_channel::read_head(time_point deadline)
{
    m_state->m_response_complete = false;
    m_state->m_late_reads = {};
    for (int provisional = 0;; ++provisional)
    {
        auto& parser = m_state->m_parser.emplace();
        parser.header_limit(max_header_bytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        m_state->m_deadline.start(state::operation::read, deadline);
        const auto [result, size] = co_await http::async_read_header(
            m_state->m_stream, m_state->m_buffer, parser, use_tuple);
        if (const auto error = m_state->finish(result))
            co_return io_failure(error, dispatch_progress::sent);
        if (!is_provisional(parser.get().result_int()))
            break;
        if (provisional == max_provisional_responses)
        {
            close();
            co_return make_failure(
                failure_kind::endpoint_failed, "too many provisional responses",
                dispatch_progress::sent);
        }
    }
    const auto& parser = *m_state->m_parser;
    m_state->m_response_complete = parser.is_done();
    m_state->m_keep_alive = parser.get().keep_alive();
    m_state->m_keep_alive_timeout = parse_keep_alive_timeout(parser.get()[http::field::keep_alive]);
    m_state->m_reusable_until =
        std::chrono::steady_clock::now() + m_state->m_keep_alive_timeout - keep_alive_margin;
    co_return http_response{parser.get().result_int(), copy_fields(parser.get().base()), {}};
}

asio::awaitable<absl::StatusOr<bool>>
endpoint_channel::read_body(std::string& body, time_point deadline, std::size_t max_bytes)
{
    auto& parser = *m_state->m_parser;
    if (parser.is_done())
    {
        m_state->m_response_complete = true;
        co_return false;
    }
    if (!m_state->m_open)
        co_return closed_failure();
    std::array<char, read_buffer_bytes> chunk;
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    m_state->m_deadline.start(state::operation::read, deadline);
    auto [error, size] =
        co_await http::async_read_some(m_state->m_stream, m_state->m_buffer, parser, use_tuple);
    error = m_state->finish(error);
    // The read ends with the first chunk; the others that have arrived need no wait.
    auto& buffer = m_state->m_buffer;
    while (!error && buffer.size() > 0 && !parser.is_done() && parser.get().body().size > 0)
    {
        const auto used = parser.put(buffer.data(), error);
        buffer.consume(used);
        size += used;
    }
    if (error == http::error::need_more || error == http::error::need_buffer)
        error = {};
    const auto received = chunk.size() - parser.get().body().size;
    if (!m_state->m_late_reads.on_read(size, std::chrono::steady_clock::now(), deadline))
    {
        close();
        co_return late_failure();
    }
    if (received > 0 && body.size() + received > max_bytes)
    {
        close();
        co_return make_failure(
            failure_kind::endpoint_failed,
            fmt::format("the response body exceeds {} bytes", max_bytes), dispatch_progress::sent);
    }
    body.append(chunk.data(), received);
    if (error)
        co_return io_failure(error, dispatch_progress::sent);
    m_state->m_response_complete = parser.is_done();
    m_state->m_reusable_until =
        std::chrono::steady_clock::now() + m_state->m_keep_alive_timeout - keep_alive_margin;
    co_return !m_state->m_response_complete;
}

asio::awaitable<absl::Status> endpoint_channel::skip_body(time_point deadline)
{
    std::size_t skipped = 0;
    std::string part;
    absl::StatusOr<bool> more = true;
    while (more.ok() && *more)
    {
        more = co_await read_body(part, deadline, max_body_bytes - skipped);
        skipped += part.size();
        part.clear();
    }
    co_return more.status();
}

bool endpoint_channel::reusable() const
{
    return m_state->m_open && m_state->m_response_complete && m_state->m_keep_alive;
}

bool endpoint_channel::ends_with_connection() const
{
    return m_state->m_parser && m_state->m_parser->need_eof();
}

bool endpoint_channel::is_open_and_idle()
{
    if (m_state->m_buffer.size() != 0)
        return false;
    auto& socket = m_state->m_stream.socket();
    beast::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

bool endpoint_channel::has_unread_bytes() const
{
    beast::error_code error;
    return m_state->m_stream.socket().available(error) > 0 && !error;
}

endpoint_channel::time_point endpoint_channel::reusable_until() const
{
    return m_state->m_reusable_until;
}

void endpoint_channel::close()
{
    m_state->m_open = false;
    m_state->m_stream.close();
}

const std::string& endpoint_channel::address() const
{
    return m_state->m_address;
}

} // namespace fulmaryard
