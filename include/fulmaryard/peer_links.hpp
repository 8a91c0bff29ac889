#ifndef FULMARYARD_PEER_LINKS_HPP
#define FULMARYARD_PEER_LINKS_HPP

#include <fulmaryard/peer_message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmaryard
{

class peer_listener;

/// Deadlines and bounds of peer links.
struct peer_link_limits
{
    std::chrono::milliseconds m_silence{500};   ///< Without a byte for this long, a link is closed.
    std::chrono::milliseconds m_handshake{250}; ///< Connect, upgrade and first hello, each.
    std::chrono::milliseconds m_min_backoff{50};
    std::chrono::milliseconds m_max_backoff{1000};
    std::chrono::milliseconds m_idle{60'000};        ///< Unused links that are not pinned close.
    std::size_t m_max_queued_bytes{8 * 1024 * 1024}; ///< Per link; beyond it the link is closed.
};

/// State of one outbound link, for dumps.
struct peer_link_state
{
    std::string m_address;
    std::string m_process; ///< Of the peer, once it has been up.
    bool m_up{false};
    std::size_t m_queued_bytes{0};
    std::size_t m_reconnects{0};
};

/// The WebSocket links of one process with its peers. Thread-safe.
///
/// A process sends to a peer on the link that it opened itself, and receives on those that peers
/// opened. Messages are delivered in order on one link and lost with it; the stream protocol
/// recovers them by pull.
class peer_links
{
public:
    /// `self` makes the hello of each new connection, so that it carries the current generation.
    peer_links(
        boost::asio::io_context& io, std::function<hello()> self, peer_listener& listener,
        peer_link_limits limits = {});
    ~peer_links();

    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Queues `message` for the peer at `address`, opening a link if there is none. Dropped while
    /// the peer is down.
    void send(const std::string& address, const peer_message& message);

    /// Keeps a link to `address` open until `unpin`.
    void pin(const std::string& address);
    void unpin(const std::string& address);

    /// Takes over a connection of `http_server` that asked for a WebSocket.
    void accept(
        boost::asio::ip::tcp::socket socket,
        boost::beast::http::request<boost::beast::http::string_body> request);

    std::vector<peer_link_state> state() const;

    /// Closes every link. No listener call starts after it returns.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
