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

/// Bounds on what one client connection may use.
struct http_server_limits
{
    std::size_t m_max_header_bytes{16 * 1024};
    std::size_t m_max_body_bytes{1024 * 1024};
    std::size_t m_max_connections{8192};
    std::chrono::milliseconds m_request_deadline{10'000}; ///< From first byte to end of body.
    std::chrono::milliseconds m_idle_deadline{60'000};    ///< Between requests.
    std::chrono::milliseconds m_write_deadline{10'000};   ///< For one write to make progress.
};

/// HTTP/1.1 server on Beast: keep-alive, bounded header and body, deadlines, event streams.
///
/// Malformed requests are answered with a typed error before the handler sees them: 400 for bad
/// syntax, 408 for a slow request, 413 for a large body, 431 for a large header.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

    /// Takes over a connection whose request asks for a WebSocket.
    using upgrade_handler = std::function<void(
        boost::asio::ip::tcp::socket,
        boost::beast::http::request<boost::beast::http::string_body>)>;

    http_server(
        boost::asio::io_context& io, http_server_limits limits, handler on_request,
        upgrade_handler on_upgrade = nullptr);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds "IP:PORT", starts to accept and returns the port; port 0 lets the system choose.
    absl::StatusOr<std::uint16_t> listen(const std::string& address);

    /// Closes the listening socket. Open connections stay until their request has been answered
    /// and then close.
    void stop_accepting();

    /// From now on each response ends its connection, and says so. New connections are accepted.
    void close_connections();

    /// Number of requests being answered.
    std::size_t active_exchanges() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
