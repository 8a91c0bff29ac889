#ifndef FULMARYARD_ENDPOINT_CHANNEL_HPP
#define FULMARYARD_ENDPOINT_CHANNEL_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// One HTTP/1.1 connection to an endpoint. Carries one call at a time; response bodies are
/// streamed.
///
/// Failures: `endpoint_lost` or `deadline_exceeded`, unless stated otherwise. Their progress is
/// `not_sent` if `connect` failed and `sent` for all other operations. Not thread-safe. `close` may
/// be called while an operation is pending; the operation then fails.
class endpoint_channel
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Largest part of a response body that a caller may collect; bounds the memory that an
    /// endpoint can make this process use.
    static constexpr std::size_t max_body_bytes = 4 * 1024 * 1024;

    explicit endpoint_channel(const boost::asio::any_io_executor& executor);
    ~endpoint_channel();

    boost::asio::awaitable<absl::Status> connect(std::string address, time_point deadline);

    boost::asio::awaitable<absl::Status> send(const http_request& request, time_point deadline);

    /// Sends `request` with `body` in place of its own. `body` is not copied and has to outlive the
    /// operation.
    boost::asio::awaitable<absl::Status>
    send(const http_request& request, std::string_view body, time_point deadline);

    /// Reads the status line and header fields of the next response. The body of the result is
    /// empty; read it with `read_body`. Both fail with `endpoint_lost` if the response is not valid
    /// HTTP.
    boost::asio::awaitable<absl::StatusOr<http_response>> read_head(time_point deadline);

    /// Appends the next part of the response body to `body`. Returns false when the body is
    /// complete. Fails if the connection is reset or closed before the length given in the header
    /// is reached. After the deadline, reads only a limited amount that has arrived already. Fails
    /// with `endpoint_failed` and closes the connection if `body` would exceed `max_bytes`; `body`
    /// is then incomplete.
    boost::asio::awaitable<absl::StatusOr<bool>>
    read_body(std::string& body, time_point deadline, std::size_t max_bytes = max_body_bytes);

    /// Reads the rest of the response body and discards it. Fails like `read_body`.
    boost::asio::awaitable<absl::Status> skip_body(time_point deadline);

    /// Whether the current response has neither a length nor chunks, so that its end is the end of
    /// the connection. Such a response may have broken off without a sign.
    bool ends_with_connection() const;

    /// Whether the connection is open, its last response was read completely, and the endpoint
    /// keeps it alive.
    bool reusable() const;

    /// Whether the peer has neither closed the connection nor sent unsolicited data. Peeks at the
    /// socket without blocking.
    bool is_open_and_idle();

    /// Whether bytes have arrived that no operation has read yet. Does not block.
    bool has_unread_bytes() const;

    /// Time until which an idle connection may be reused: the keep-alive timeout of the peer less a
    /// safety margin.
    time_point reusable_until() const;

    void close();

    const std::string& address() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
