#ifndef FULMARYARD_ENDPOINT_CHANNEL_HPP
#define FULMARYARD_ENDPOINT_CHANNEL_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// One HTTP/1.1 connection to an endpoint, which carries one call at a time and streams its answer.
///
/// Failures: `endpoint_lost` or `deadline_exceeded`; with progress `not_sent` from `connect` only.
/// Not thread-safe; `close` may be called while an operation is pending, which then fails.
class endpoint_channel
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit endpoint_channel(const boost::asio::any_io_executor& executor);
    ~endpoint_channel();

    boost::asio::awaitable<absl::Status> connect(std::string address, time_point deadline);

    boost::asio::awaitable<absl::Status> send(const http_request& request, time_point deadline);

    /// Reads the head of the next answer; its body is empty.
    boost::asio::awaitable<absl::StatusOr<http_response>> read_head(time_point deadline);

    /// Reads more of the body into `body`; false when the body is complete. A connection that is
    /// reset, or that ends before the length that the head states, is a failure.
    boost::asio::awaitable<absl::StatusOr<bool>> read_body(std::string& body, time_point deadline);

    /// Whether the connection can carry another call.
    bool reusable() const;

    /// Whether the peer still holds the connection open and has sent nothing unasked.
    bool quiet();

    /// Until when the peer keeps the connection while it is idle.
    time_point idle_until() const;

    void close();

    const std::string& address() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
