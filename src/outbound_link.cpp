#include "outbound_link.hpp"

#include "websocket_inl.hpp"

#include <fulmaryard/log.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;

outbound_link::outbound_link(
    asio::any_io_executor strand, std::string address, std::function<hello()> self,
    peer_listener& listener, const peer_link_limits& limits)
    : m_executor(std::move(strand)),
      m_address(std::move(address)),
      m_make_hello(std::move(self)),
      m_listener(listener),
      m_limits(limits),
      m_wake_timer(m_executor),
      m_last_used_at(std::chrono::steady_clock::now())
{
}

void outbound_link::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void outbound_link::post(std::string encoded)
{
    asio::post(
        m_executor,
        [self = shared_from_this(), encoded = std::move(encoded)]() mutable
        {
            if (self->m_reported_down || self->m_stopped)
                return;
            self->m_last_used_at = std::chrono::steady_clock::now();
            self->m_queued_bytes += encoded.size();
            self->m_queue.push_back(std::move(encoded));
            if (self->m_queued_bytes > self->m_limits.m_max_queued_bytes)
            {
                // The peer reads too slowly. It pulls the dropped messages after the link is
                // reopened.
                log_event(log_level::warning, "link_queue_full").with("peer", self->m_address);
                self->clear_queue();
                if (self->m_socket)
                    beast::get_lowest_layer(*self->m_socket).close();
            }
            self->m_wake_timer.cancel();
        });
}

void outbound_link::stop()
{
    m_stopped = true;
    asio::post(
        m_executor,
        [self = shared_from_this()]
        {
            if (self->m_socket)
                beast::get_lowest_layer(*self->m_socket).close();
            self->m_wake_timer.cancel();
        });
}

peer_link_state outbound_link::state() const
{
    const std::lock_guard lock(m_state_mutex);
    const std::size_t connects = m_connects;
    return {m_address, m_peer_process, m_up, m_queued_bytes, connects > 0 ? connects - 1 : 0};
}

void outbound_link::clear_queue()
{
    m_queue.clear();
    m_queued_bytes = 0;
}

void outbound_link::report_down()
{
    if (m_reported_down || m_stopped)
        return;
    m_reported_down = true;
    clear_queue();
    log_event(log_level::warning, "peer_down").with("peer", m_address);
    m_listener.on_peer_down(m_address);
}

bool outbound_link::idle_timeout_expired() const
{
    return !m_pinned && m_queue.empty() &&
           std::chrono::steady_clock::now() - m_last_used_at > m_limits.m_idle_timeout;
}

asio::awaitable<void> outbound_link::wait_before_reconnect(std::chrono::milliseconds time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (!m_stopped && std::chrono::steady_clock::now() < until)
    {
        m_wake_timer.expires_at(until);
        co_await m_wake_timer.async_wait(use_tuple);
    }
}

asio::awaitable<void> outbound_link::run()
{
    auto backoff = m_limits.m_min_backoff;
    while (!m_stopped && !idle_timeout_expired())
    {
        if (!co_await connect())
        {
            report_down();
            co_await wait_before_reconnect(backoff);
            backoff = std::min(backoff * 2, m_limits.m_max_backoff);
            continue;
        }
        backoff = m_limits.m_min_backoff;
        const auto socket = m_socket;
        m_connection_open = true;
        m_reader_running = true;
        asio::co_spawn(
            m_executor, [self = shared_from_this(), socket] { return self->read_loop(socket); },
            asio::detached);
        co_await write_loop(socket);
        beast::get_lowest_layer(*socket).close();
        while (m_reader_running)
        {
            m_wake_timer.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake_timer.async_wait(use_tuple);
        }
        m_up = false;
        m_socket.reset();
        // Queued messages may depend on messages that were lost with the link. The receiver pulls
        // all of them.
        clear_queue();
    }
    m_ended = true;
}

asio::awaitable<bool> outbound_link::connect()
{
    const auto endpoint = parse_address(m_address);
    if (!endpoint.ok())
        co_return false;
    const auto socket = std::make_shared<websocket>(m_executor);
    m_socket = socket;
    auto& tcp = beast::get_lowest_layer(*socket);
    tcp.expires_after(m_limits.m_handshake_timeout);
    const auto [connect_error] = co_await tcp.async_connect(*endpoint, use_tuple);
    if (connect_error || m_stopped)
        co_return false;
    beast::error_code ignored;
    tcp.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    // One deadline covers the upgrade and the first hello. Afterwards WebSocket keep-alive pings
    // detect a dead peer.
    tcp.expires_after(m_limits.m_handshake_timeout);
    socket->binary(true);
    const auto [handshake_error] = co_await socket->async_handshake(m_address, "/peer", use_tuple);
    if (handshake_error || m_stopped)
        co_return false;
    const std::string greeting = encode(m_make_hello());
    const auto [write_error, written] =
        co_await socket->async_write(asio::buffer(greeting), use_tuple);
    beast::flat_buffer buffer;
    const auto [read_error, size] = co_await socket->async_read(buffer, use_tuple);
    if (write_error || read_error || m_stopped)
        co_return false;
    const auto answer =
        decode({static_cast<const char*>(buffer.data().data()), buffer.data().size()});
    if (!answer.ok() || !std::holds_alternative<hello>(*answer))
        co_return false;
    tcp.expires_never();
    set_keep_alive(*socket, m_limits.m_handshake_timeout, m_limits.m_receive_timeout);
    const auto& peer = std::get<hello>(*answer);
    {
        const std::lock_guard lock(m_state_mutex);
        m_peer_process = peer.m_process;
    }
    m_up = true;
    m_reported_down = false;
    m_connects.fetch_add(1);
    log_event(log_level::info, "peer_up").with("peer", m_address).with("id", peer.m_process);
    m_listener.on_peer_up(peer);
    co_return true;
}

asio::awaitable<void> outbound_link::read_loop(std::shared_ptr<websocket> socket)
{
    // The peer sends only pongs on this link. Beast handles them, and the receive timeout, only
    // while a read is pending.
    beast::flat_buffer buffer;
    for (;;)
    {
        const auto [error, size] = co_await socket->async_read(buffer, use_tuple);
        if (error)
        {
            log_event(log_level::info, "link_closed")
                .with("peer", m_address)
                .with("reason", error.message());
            break;
        }
        buffer.clear();
    }
    m_connection_open = false;
    m_reader_running = false;
    m_wake_timer.cancel();
}

asio::awaitable<void> outbound_link::write_loop(std::shared_ptr<websocket> socket)
{
    while (m_connection_open && !m_stopped)
    {
        if (m_queue.empty())
        {
            if (idle_timeout_expired())
                co_return;
            m_wake_timer.expires_after(m_limits.m_idle_timeout);
            co_await m_wake_timer.async_wait(use_tuple);
            continue;
        }
        const std::string message = std::move(m_queue.front());
        m_queue.pop_front();
        m_queued_bytes -= message.size();
        const auto [error, written] =
            co_await socket->async_write(asio::buffer(message), use_tuple);
        if (error)
            co_return;
    }
}

} // namespace fulmaryard
