#ifndef FULMARYARD_HTTP_EXCHANGE_HPP
#define FULMARYARD_HTTP_EXCHANGE_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// One request on a server connection and the means to answer it.
///
/// Answer either with `respond`, or with `begin_events`, any number of `send_events`, and
/// `end_events`. Use it only on `executor()`.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /// Number of the connection in its server: counts from 1 in the order of acceptance.
    virtual std::uint64_t connection() const { return 0; }

    /// The connection's strand.
    virtual boost::asio::any_io_executor executor() = 0;

    /// Sends a whole response. `endpoint_lost` when the client is gone.
    virtual boost::asio::awaitable<absl::Status> respond(http_response response) = 0;

    /// Sends the header of a chunked `text/event-stream` response.
    virtual boost::asio::awaitable<absl::Status> begin_events(std::vector<http_field> fields) = 0;

    /// Sends the header of a chunked response with any status and fields, as `begin_events` does.
    virtual boost::asio::awaitable<absl::Status> begin_chunked(http_response head)
    {
        return begin_events(std::move(head.m_fields));
    }

    /// Sends `text` as one chunk. Completes when the kernel has taken the bytes, so a slow reader
    /// slows the sender; `request_timeout` when it takes nothing for the write deadline.
    virtual boost::asio::awaitable<absl::Status> send_events(std::string_view text) = 0;

    /// Sends the final chunk.
    virtual boost::asio::awaitable<absl::Status> end_events() = 0;

    /// Closes the connection without a response, or in the middle of one, so that an answer that
    /// cannot be completed does not look complete. The caller's outcome is then unknown.
    virtual void abort_connection() {}

    /// Returns true once a response has been started.
    virtual bool responded() const = 0;

    /// Calls `on_gone` once on `executor()` if the client closes its connection, or its sending
    /// side of it, before the exchange ends.
    virtual void watch_client(std::function<void()> on_gone) = 0;

    /// Whether the client has closed its connection already, before a watch could notice.
    virtual bool client_has_left() { return false; }
};

} // namespace fulmaryard

#endif
