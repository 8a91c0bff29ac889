#include "soak/soak_callers.hpp"

#include <fulmaryard/peer_address.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <optional>

namespace fulmaryard::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t callers = 18;
constexpr std::chrono::milliseconds connect_limit{1'000};
constexpr std::chrono::milliseconds answer_limit{9'000};
constexpr std::chrono::milliseconds max_pause{120};
constexpr std::uint64_t max_stream_events = 40;

/// A connection of a caller and its read buffer.
struct caller_connection
{
    explicit caller_connection(asio::io_context& io) : m_stream(io) {}

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_used{false};
};

http::request<http::empty_body> make_request(const soak_request& wanted)
{
    const bool look = wanted.m_kind == soak_request::kind::repeatable;
    const char* target =
        wanted.m_kind == soak_request::kind::stream ? "/chat/1" : (look ? "/look/1" : "/orders/1");
    http::request<http::empty_body> request(look ? http::verb::get : http::verb::post, target, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set("Fulmaryard-Attempt-Id", wanted.m_id);
    request.set("Fulmaryard-Deadline-Ms", std::to_string(answer_limit.count()));
    request.set("Fulmaryard-Token-Usage", fmt::format("10,{}", wanted.m_events));
    request.set(http::field::authorization, "Bearer " + wanted.m_key);
    request.prepare_payload();
    return request;
}

/// Sends the request and reads the response. Returns whether the connection can be reused.
asio::awaitable<bool> exchange(caller_connection& connection, soak_request& request)
{
    request.m_reused_connection = connection.m_used;
    connection.m_used = true;
    auto message = make_request(request);
    connection.m_stream.expires_after(answer_limit);
    const auto [write_error, written] =
        co_await http::async_write(connection.m_stream, message, use_tuple);
    if (write_error)
        co_return false;
    request.m_request_written = true;
    http::response_parser<http::string_body> parser;
    const auto [head_error, head] = co_await http::async_read_header(
        connection.m_stream, connection.m_buffer, parser, use_tuple);
    if (head_error)
        co_return false;
    request.m_status = parser.get().result_int();
    request.m_response_attempt_id = std::string(parser.get()["Fulmaryard-Attempt-Id"]);
    const auto [body_error, body] =
        co_await http::async_read(connection.m_stream, connection.m_buffer, parser, use_tuple);
    request.m_body = parser.get().body();
    request.m_complete = !body_error;
    co_return !body_error && parser.keep_alive();
}

} // namespace

soak_callers::soak_callers(
    std::vector<std::string> addresses, std::uint64_t seed, std::chrono::milliseconds duration)
    : m_addresses(std::move(addresses)),
      m_random(seed),
      m_duration(duration)
{
}

std::chrono::milliseconds soak_callers::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_start);
}

void soak_callers::run()
{
    m_start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < callers; ++i)
        asio::co_spawn(m_io, send_requests(i), asio::detached);
    m_io.run();
}

asio::awaitable<void> soak_callers::send_requests(std::size_t caller)
{
    asio::steady_timer pause(m_io);
    std::optional<caller_connection> connection;
    std::size_t router = caller % m_addresses.size();
    for (int number = 0; now() < m_duration; ++number)
    {
        soak_request request;
        request.m_id = fmt::format("c{}-{}", caller, number);
        // Four of six callers send streams, which take longer than other requests.
        request.m_kind = caller % 6 == 4   ? soak_request::kind::once
                         : caller % 6 == 5 ? soak_request::kind::repeatable
                                           : soak_request::kind::stream;
        request.m_key = m_random() % 3 == 0 ? "second" : "secret";
        request.m_events = 1 + m_random() % max_stream_events;
        request.m_sent = now();
        if (!connection)
        {
            router = m_random() % m_addresses.size();
            connection.emplace(m_io);
            connection->m_stream.expires_after(connect_limit);
            const auto address = *parse_address(m_addresses[router]);
            const auto [error] = co_await connection->m_stream.async_connect(address, use_tuple);
            if (error)
                connection.reset();
        }
        request.m_router = router;
        if (connection && !co_await exchange(*connection, request))
            connection.reset();
        request.m_ended = now();
        m_requests.push_back(std::move(request));
        pause.expires_after(
            std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(max_pause.count())));
        co_await pause.async_wait(use_tuple);
    }
}

} // namespace fulmaryard::soak
