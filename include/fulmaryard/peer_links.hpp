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

/// Timeouts and queue limit of peer links.
struct peer_link_limits
{
    std::chrono::milliseconds m_receive_timeout{500};   ///< Maximum time without input.
    std::chrono::milliseconds m_handshake_timeout{250}; ///< Each: TCP connect; upgrade and hello.
    std::chrono::milliseconds m_min_backoff{50};
    std::chrono::milliseconds m_max_backoff{1000};
    /// A link that is not pinned is closed after it was unused for this long.
    std::chrono::milliseconds m_idle_timeout{60'000};
    std::size_t m_max_queued_bytes{8 * 1024 * 1024}; ///< Per link; closes it if exceeded.
};

/// State of one outbound link, as reported in dumps.
struct peer_link_state
{
    std::string m_address;
    std::string m_process; ///< Process id of the peer; empty before the first connection.
    bool m_up{false};
    std::size_t m_queued_bytes{0};
    std::size_t m_reconnects{0};
};

/// The WebSocket links between one process and its peers. Thread-safe.
///
/// A process sends on the links that it opened and receives on the links that its peers opened.
/// Messages on one link are delivered in order. Those that are undelivered when the link closes are
/// lost; the receiver requests them again with a `pull` message of the stream protocol.
class peer_links
{
public:
    /// `self` returns the hello of this process. It is called for each new connection, so that
    /// the hello has the current configuration generation.
    peer_links(
        boost::asio::io_context& io, std::function<hello()> self, peer_listener& listener,
        peer_link_limits limits = {});
    ~peer_links();

    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Queues `message` for the peer at `address`, opening a link if there is none. The message
    /// is dropped while the peer is down.
    void send(const std::string& address, const peer_message& message);

    /// Keeps a link to `address` open until `unpin`.
    void pin(const std::string& address);
    void unpin(const std::string& address);

    /// Accepts a connection of `http_server` whose request asks for an upgrade to WebSocket.
    void accept(
        boost::asio::ip::tcp::socket socket,
        boost::beast::http::request<boost::beast::http::string_body> request);

    std::vector<peer_link_state> state() const;

    /// Closes every link. No call to the listener starts after this function has returned.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
