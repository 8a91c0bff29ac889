#ifndef FULMARYARD_HTTP_SERVER_HPP
#define FULMARYARD_HTTP_SERVER_HPP

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

class http_exchange;

/// Limits of an HTTP server and of each of its client connections.
struct http_server_limits
{
    std::size_t m_max_header_bytes{16 * 1024};
    std::size_t m_max_body_bytes{1024 * 1024};
    std::size_t m_max_connections{8192};
    /// What the requests of all connections hold together, bytes.
    std::size_t m_request_memory_bytes{48 * 1024 * 1024};
    std::chrono::milliseconds m_request_deadline{
        10'000}; ///< From the first byte of a request to the end of its body.
    std::chrono::milliseconds m_idle_deadline{60'000}; ///< For the first byte of the next request.
    std::chrono::milliseconds m_write_deadline{
        10'000}; ///< For one response, response header or chunk.
};

/// HTTP/1.1 server based on Boost.Beast, with keep-alive, limits on header and body size,
/// deadlines and event streams.
///
/// A request that cannot be read gets an error response and never reaches the handler: 400 for
/// invalid syntax, 408 after the request deadline, 413 for a body over the limit, 431 for a header
/// over the limit, 503 if there is no memory for it. When connections or memory are used up, the
/// connection that has gone longest without a byte is closed, with 408 if its request is
/// incomplete.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

    /// Takes ownership of a connection whose request is a WebSocket upgrade.
    using upgrade_handler = std::function<void(
        boost::asio::ip::tcp::socket,
        boost::beast::http::request<boost::beast::http::string_body>)>;

    http_server(
        boost::asio::io_context& io, http_server_limits limits, handler on_request,
        upgrade_handler on_upgrade = nullptr);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds `address`, "IP:PORT", starts accepting connections and returns the bound port. Port 0
    /// lets the kernel choose one. Fails if the address is malformed or cannot be bound.
    absl::StatusOr<std::uint16_t> listen(const std::string& address);

    /// Closes the listening socket. Each open connection closes after the response to its current
    /// request or, if it is idle, to its next one.
    void stop_accepting();

    /// From now on, sends each response with `Connection: close` and closes the connection after
    /// it. New connections are still accepted.
    void disable_keep_alive();

    /// Replaces the limit of the bodies of requests whose head is read from now on.
    void set_max_body_bytes(std::size_t bytes);

    /// Returns what the requests of all connections hold, bytes.
    std::size_t request_bytes() const;

    /// Returns the number of requests in progress, from their first byte to the end of their
    /// response.
    std::size_t active_exchanges() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
