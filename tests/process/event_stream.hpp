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

/// Blocking reader of one server-sent events response. The destructor closes the connection.
class event_stream
{
public:
    /// Connects to `address`, sends the request and reads the response header.
    static absl::StatusOr<event_stream> open(
        const std::string& address, const http_request& request,
        std::chrono::milliseconds deadline);

    ~event_stream();
    event_stream(event_stream&& other) noexcept;
    event_stream& operator=(event_stream&& other) noexcept;

    unsigned status() const;

    /// Reads the next event. Returns nullopt at the end of a complete response, and fails with
    /// `endpoint_lost` if the connection breaks before. The stream cannot be read any further after
    /// `deadline_exceeded`.
    absl::StatusOr<std::optional<server_event>> next(std::chrono::milliseconds deadline);

    /// Returns the last event id received; empty before the first.
    const std::string& last_id() const;

    /// Reads the whole body of a response that is not an event stream.
    absl::StatusOr<http_response> read_response(std::chrono::milliseconds deadline);

private:
    struct state;
    explicit event_stream(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard::process_tests

#endif
