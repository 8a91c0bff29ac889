#ifndef FULMARYARD_OUTBOUND_LINK_HPP
#define FULMARYARD_OUTBOUND_LINK_HPP

#include <fulmaryard/peer_links.hpp>
#include <fulmaryard/peer_listener.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket/stream.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace fulmaryard
{

/// A link that this process opened to one peer. Connects, sends queued messages, and reconnects
/// after a failure. The private member functions run on `m_executor`, a strand.
class outbound_link : public std::enable_shared_from_this<outbound_link>
{
public:
    using websocket = boost::beast::websocket::stream<boost::beast::tcp_stream>;

    outbound_link(
        boost::asio::any_io_executor strand, std::string address, std::function<hello()> self,
        peer_listener& listener, const peer_link_limits& limits);

    /// Starts connecting; call once.
    void start();

    /// Queues an encoded message. Thread-safe.
    void post(std::string encoded);

    /// Closes the link and stops reconnecting. Thread-safe.
    void stop();

    /// A pinned link is not closed when it is idle. Thread-safe.
    void set_pinned(bool pinned) { m_pinned = pinned; }

    bool ended() const { return m_ended; }

    peer_link_state state() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> read_loop(std::shared_ptr<websocket> socket);
    boost::asio::awaitable<void> write_loop(std::shared_ptr<websocket> socket);
    boost::asio::awaitable<void> wait_before_reconnect(std::chrono::milliseconds time);
    bool idle_timeout_expired() const;
    void report_down();
    void clear_queue();

    boost::asio::any_io_executor m_executor;
    std::string m_address;
    std::function<hello()> m_make_hello;
    peer_listener& m_listener;
    peer_link_limits m_limits;
    boost::asio::steady_timer m_wake_timer; ///< Cancelled to resume a waiting coroutine.
    std::shared_ptr<websocket> m_socket;
    std::deque<std::string> m_queue;
    std::chrono::steady_clock::time_point m_last_used_at;
    bool m_connection_open{false};
    bool m_reader_running{false};
    bool m_reported_down{false};

    std::string m_peer_process; ///< Written on the strand under `m_state_mutex`.
    mutable std::mutex m_state_mutex;
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_pinned{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_ended{false};
    std::atomic<std::size_t> m_queued_bytes{0};
    std::atomic<std::size_t> m_connects{0};
};

} // namespace fulmaryard

#endif
