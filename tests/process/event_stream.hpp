#ifndef FULMARYARD_EVENT_STREAM_HPP
#define FULMARYARD_EVENT_STREAM_HPP

#include "process/server_event.hpp"

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fulmaryard::process_tests
{

/// Blocking reader of one response of server-sent events. Closes its connection on destruction.
class event_stream
{
public:
    /// Connects to `address`, sends the request and reads the response's header.
    static absl::StatusOr<event_stream> open(
        const std::string& address, const http_request& request,
        std::chrono::milliseconds deadline);

    ~event_stream();
    event_stream(event_stream&& other) noexcept;
    event_stream& operator=(event_stream&& other) noexcept;

    unsigned status() const;

    /// Reads the next event; empty after the end of a complete response. A connection that breaks
    /// first is `endpoint_lost`. After `deadline_exceeded` the stream cannot be read on.
    absl::StatusOr<std::optional<server_event>> next(std::chrono::milliseconds deadline);

    /// The last id received, empty before the first.
    const std::string& last_id() const;

    /// Reads a response that is no event stream to its end.
    absl::StatusOr<http_response> read_response(std::chrono::milliseconds deadline);

private:
    struct state;
    explicit event_stream(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard::process_tests

#endif
