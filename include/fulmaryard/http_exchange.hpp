#ifndef FULMARYARD_HTTP_EXCHANGE_HPP
#define FULMARYARD_HTTP_EXCHANGE_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// One request on a server connection, and the operations that send its response.
///
/// Send the response either with `respond`, or in chunks: `begin_event_stream` or `begin_chunked`,
/// any number of `send_chunk`, then `send_last_chunk`. Use the object only on `executor()`.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /// Returns the body of the request, which `request` no longer has afterwards, so that a large
    /// one is held once.
    virtual std::string take_body() { return request().m_body; }

    /// Sequence number of the connection within its server, from 1 in the order of acceptance.
    virtual std::uint64_t connection() const { return 0; }

    /// Returns the strand of the connection.
    virtual boost::asio::any_io_executor executor() = 0;

    /// Sends a complete response. Fails with `endpoint_lost` if the client has disconnected.
    virtual boost::asio::awaitable<absl::Status> respond(http_response response) = 0;

    /// Sends the header of a chunked `text/event-stream` response with status 200.
    virtual boost::asio::awaitable<absl::Status>
    begin_event_stream(std::vector<http_field> fields) = 0;

    /// Sends the header of a chunked response with the status and fields of `head`. The default
    /// implementation ignores the status and calls `begin_event_stream`.
    virtual boost::asio::awaitable<absl::Status> begin_chunked(http_response head)
    {
        return begin_event_stream(std::move(head.m_fields));
    }

    /// Sends `text` as one chunk. Completes once the kernel has accepted all bytes, so that a slow
    /// reader applies backpressure to the sender. Fails with `request_timeout` if that takes longer
    /// than the write deadline.
    virtual boost::asio::awaitable<absl::Status> send_chunk(std::string_view text) = 0;

    /// Sends the last chunk, which completes the response.
    virtual boost::asio::awaitable<absl::Status> send_last_chunk() = 0;

    /// Closes the connection without a response or in the middle of one, so that the client does
    /// not mistake a truncated response for a complete one. The outcome of the request is then
    /// unknown to the client.
    virtual void abort_connection() {}

    /// Returns true once a response has been started or the connection has been aborted.
    virtual bool response_started() const = 0;

    /// Calls `on_disconnect` once, on `executor()`, if the client closes the connection or its
    /// sending side before the exchange ends.
    virtual void watch_for_disconnect(std::function<void()> on_disconnect) = 0;

    /// Returns true if the client has already closed the connection or its sending side. Checks
    /// the socket directly, so it also detects a disconnect that a watch has not reported yet.
    virtual bool client_disconnected() { return false; }
};

} // namespace fulmaryard

#endif
