#include "engine_connection.hpp"

#include "use_tuple_inl.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace fulmaryard::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;

engine_connection::engine_connection(asio::ip::tcp::socket socket, handler on_message)
    : m_stream(std::move(socket)),
      m_on_message(std::move(on_message))
{
    // The prefill message of a long prompt takes tens of bytes per position.
    m_stream.read_message_max(std::size_t{16} * 1024 * 1024);
}

void engine_connection::start(upgrade_request request)
{
    asio::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this(), request = std::move(request)]() mutable
        { return self->receive(std::move(request)); },
        [self = shared_from_this()](const std::exception_ptr&) { self->m_open = false; });
}

asio::awaitable<void> engine_connection::receive(upgrade_request request)
{
    beast::get_lowest_layer(m_stream).expires_never();
    const auto [accept_error] = co_await m_stream.async_accept(request, use_tuple);
    if (accept_error)
        co_return;
    while (!m_silent)
    {
        beast::flat_buffer buffer;
        const auto [error, size] = co_await m_stream.async_read(buffer, use_tuple);
        if (error)
            break;
        if (!m_silent)
            m_on_message(shared_from_this(), beast::buffers_to_string(buffer.data()));
    }
}

void engine_connection::send(const boost::json::value& message)
{
    if (!m_open || m_silent)
        return;
    m_queue.push_back(boost::json::serialize(message));
    m_queued_bytes += m_queue.back().size();
    if (m_queued_bytes > m_queue_limit)
    {
        m_open = false;
        beast::get_lowest_layer(m_stream).close();
        return;
    }
    if (m_writing)
        return;
    m_writing = true;
    asio::co_spawn(
        m_stream.get_executor(), [self = shared_from_this()] { return self->write_queue(); },
        asio::detached);
}

asio::awaitable<void> engine_connection::write_queue()
{
    while (!m_queue.empty() && m_open && !m_silent)
    {
        const std::string message = std::move(m_queue.front());
        m_queue.pop_front();
        m_stream.text(true);
        const auto [error, size] = co_await m_stream.async_write(asio::buffer(message), use_tuple);
        m_queued_bytes -= message.size();
        if (error)
            break;
    }
    m_writing = false;
}

void engine_connection::silence()
{
    m_silent = true;
    // Cancels the pending read, during which Beast would otherwise keep answering pings.
    beast::get_lowest_layer(m_stream).cancel();
}

} // namespace fulmaryard::standins
