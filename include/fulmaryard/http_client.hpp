#ifndef FULMARYARD_HTTP_CLIENT_HPP
#define FULMARYARD_HTTP_CLIENT_HPP

#include <fulmaryard/http_message.hpp>
#include <fulmaryard/response_limits.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace fulmaryard
{

class http_transfer;

/// HTTP/1.1 client for one address, with a pool of idle keep-alive connections. Thread-safe.
class http_client
{
public:
    /// `address` is "IP:PORT"; if it is malformed, every request fails. `max_idle` is the maximum
    /// number of pooled connections, `max_response_bytes` the maximum body size of one response.
    http_client(
        boost::asio::any_io_executor executor, std::string address, std::size_t max_idle = 8,
        std::size_t max_response_bytes = 4 * 1024 * 1024);
    ~http_client();

    /// Whether a request may use a pooled keep-alive connection. If such a connection is reset
    /// after the request was written, the client cannot tell whether the server processed the
    /// request. A request that must not be repeated therefore uses a new connection, where a
    /// failed connect proves that the request was not sent.
    enum class reuse
    {
        allowed,
        new_connection
    };

    /// Sends one request and reads the whole response. A response with any valid status code is
    /// returned as a success. Fails with `deadline_exceeded`, or with `endpoint_lost`, also if the
    /// response is not valid HTTP; the progress is `not_sent` if no connection could be
    /// established, and `sent` otherwise. If a pooled connection turns out to be closed before any
    /// byte of the response arrives, the request is sent once more on a new connection.
    ///
    /// Pass a named object as `request`: g++ 12 makes a bitwise copy of a braced temporary inside a
    /// co_await expression, so that its strings are freed twice.
    boost::asio::awaitable<absl::StatusOr<http_response>>
    send(http_request request, std::chrono::milliseconds deadline, reuse policy = reuse::allowed);

    /// The same with limits that depend on the progress of the response. `transfer`, if given, is
    /// kept up to date while the exchange runs. An exchange that is cancelled through it fails with
    /// `endpoint_lost`.
    boost::asio::awaitable<absl::StatusOr<http_response>> send(
        http_request request, response_limits limits, reuse policy,
        std::shared_ptr<http_transfer> transfer);

    const std::string& address() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
