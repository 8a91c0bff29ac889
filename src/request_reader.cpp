#include "request_reader.hpp"
#include "use_tuple_inl.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

// What a connection with a request holds besides its bytes: coroutines, parser, header fields.
constexpr std::size_t connection_bytes = 4 * 1024;

// Bytes that are read at once: of a head or a small body, and of a large body.
constexpr std::size_t small_read_bytes = 4 * 1024;
constexpr std::size_t large_read_bytes = 32 * 1024;

// Tries to take memory, each after another request was closed for it. A request that was told to
// end has returned its memory by the next one.
constexpr int max_memory_tries = 20;
constexpr std::chrono::milliseconds memory_try_interval{10};

} // namespace

request_reader::request_reader(
    beast::tcp_stream& stream, operation_deadline& deadline, connection_registry& registry,
    request_memory& memory, std::uint64_t connection, std::size_t max_header_bytes)
    : m_stream(stream),
      m_deadline(deadline),
      m_registry(registry),
      m_share(memory),
      m_connection(connection),
      m_state(registry.add(connection, stream)),
      m_buffer(max_header_bytes + 2 * large_read_bytes)
{
}

request_reader::~request_reader()
{
    m_registry.remove(m_connection, *m_state);
}

asio::awaitable<bool> request_reader::wait_for_request(std::chrono::milliseconds time_limit)
{
    if (m_buffer.size() > 0)
        co_return true;
    // The read buffer of a large request would be kept for as long as the connection.
    m_buffer.shrink_to_fit();
    m_registry.wait(m_connection, *m_state, connection_registry::state::idle);
    m_deadline.start(
        operation_deadline::operation::read, std::chrono::steady_clock::now() + time_limit);
    const auto error = co_await read_some(small_read_bytes);
    m_deadline.stop();
    m_registry.stop_waiting(m_connection, *m_state);
    co_return !error;
}

asio::awaitable<beast::error_code>
request_reader::read(request_parser& parser, std::chrono::milliseconds time_limit)
{
    m_registry.wait(m_connection, *m_state, connection_registry::state::incomplete);
    m_deadline.start(
        operation_deadline::operation::read, std::chrono::steady_clock::now() + time_limit,
        operation_deadline::expiry_action::cancel_operation);
    const auto error = co_await read_parts(parser);
    const bool expired = m_deadline.stop();
    m_registry.stop_waiting(m_connection, *m_state);
    if (error && (expired || m_state->m_closed))
        co_return beast::error_code(beast::error::timeout);
    // Nothing is left to be read, so the request holds less.
    if (!error)
        m_share.try_hold(connection_bytes + m_buffer.size() + parser.get().body().capacity());
    co_return error;
}

void request_reader::release()
{
    m_share.release();
}

asio::awaitable<beast::error_code> request_reader::read_parts(request_parser& parser)
{
    const auto no_memory = beast::error_code(
        boost::system::errc::make_error_code(boost::system::errc::not_enough_memory));
    for (;;)
    {
        if (m_buffer.size() > 0)
        {
            if (parser.is_header_done() && !co_await hold_body(parser))
                co_return no_memory;
            // Stops after the head, so that the memory of the body can be taken before it is read.
            parser.eager(parser.is_header_done());
            beast::error_code error;
            const auto consumed = parser.put(m_buffer.data(), error);
            m_buffer.consume(consumed);
            if (error && error != http::error::need_more)
                co_return error;
            if (parser.is_done())
                co_return beast::error_code();
            if (consumed > 0 && m_buffer.size() > 0)
                continue;
        }
        const auto& body = parser.get().body();
        auto bytes = body.size() < 4 * small_read_bytes ? small_read_bytes : large_read_bytes;
        if (!parser.is_header_done() && !co_await hold(connection_bytes + m_buffer.size() + bytes))
            co_return no_memory;
        if (parser.is_header_done() && !co_await hold_body(parser))
            co_return no_memory;
        if (m_buffer.size() + bytes > m_buffer.max_size())
            co_return beast::error_code(http::error::buffer_overflow);
        if (const auto error = co_await read_some(bytes))
        {
            co_return error == asio::error::eof ? beast::error_code(http::error::partial_message)
                                                : error;
        }
        m_registry.wait(m_connection, *m_state, connection_registry::state::incomplete);
    }
}

asio::awaitable<beast::error_code> request_reader::read_some(std::size_t bytes)
{
    if (m_state->m_closed)
        co_return beast::error_code(asio::error::operation_aborted);
    const auto [error, size] =
        co_await m_stream.async_read_some(m_buffer.prepare(bytes), use_tuple);
    m_buffer.commit(size);
    co_return error;
}

asio::awaitable<bool> request_reader::hold_body(request_parser& parser)
{
    auto& body = parser.get().body();
    std::size_t capacity = body.capacity();
    if (const auto announced = parser.content_length())
        capacity = std::max<std::size_t>(capacity, *announced);
    else if (capacity - body.size() < m_buffer.size())
        capacity = std::max(body.size() + m_buffer.size(), capacity + capacity / 2);
    const std::size_t reads =
        body.size() < 4 * small_read_bytes ? small_read_bytes : large_read_bytes;
    if (!co_await hold(connection_bytes + m_buffer.size() + reads + capacity))
        co_return false;
    body.reserve(capacity);
    co_return true;
}

asio::awaitable<bool> request_reader::hold(std::size_t bytes)
{
    for (int tries = 0; !m_share.try_hold(bytes); ++tries)
    {
        if (m_state->m_closed)
            co_return false;
        if (tries == max_memory_tries || !m_registry.close_longest_incomplete())
        {
            m_registry.on_refused();
            co_return false;
        }
        asio::steady_timer pause(m_stream.get_executor(), memory_try_interval);
        co_await pause.async_wait(use_tuple);
    }
    co_return true;
}

} // namespace fulmaryard
