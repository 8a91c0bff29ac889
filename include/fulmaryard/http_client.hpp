#ifndef FULMARYARD_HTTP_CLIENT_HPP
#define FULMARYARD_HTTP_CLIENT_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace fulmaryard
{

/// HTTP/1.1 client for one address with a pool of kept-alive connections. Thread-safe.
class http_client
{
public:
    /// `address` is "IP:PORT"; a malformed one fails each request. `max_idle` bounds the pool and
    /// `max_response_bytes` the body of one response.
    http_client(
        boost::asio::any_io_executor executor, std::string address, std::size_t max_idle = 8,
        std::size_t max_response_bytes = 4 * 1024 * 1024);
    ~http_client();

    /// Whether a request may use a kept-alive connection. On such a connection a reset after the
    /// request was written leaves open whether it ran, so a request that must not be repeated
    /// uses a new one: there a failed connect shows that it was not sent.
    enum class reuse
    {
        allowed,
        new_connection
    };

    /// Sends one request and reads the whole response. Any HTTP status is a success here.
    /// Failures: `endpoint_lost` or `deadline_exceeded`, with progress `not_sent` when the
    /// connection could not be made and `sent` otherwise. A request on a kept-alive connection
    /// that proves closed before any byte of a response is sent again once on a new one.
    /// Pass a named `request`: g++ 12 copies a braced temporary inside a co_await expression byte
    /// by byte, and its strings are then freed twice.
    boost::asio::awaitable<absl::StatusOr<http_response>>
    send(http_request request, std::chrono::milliseconds deadline, reuse policy = reuse::allowed);

    const std::string& address() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
