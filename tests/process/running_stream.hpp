#ifndef FULMARYARD_RUNNING_STREAM_HPP
#define FULMARYARD_RUNNING_STREAM_HPP

#include "process/event_stream.hpp"

#include <fulmaryard/stream_locator.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmaryard::process_tests
{

/// Client that reads one streamed completion incrementally, so that a test can inject a fault after
/// a chosen token. Throws std::runtime_error if the connection fails, which fails the test.
class running_stream
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::milliseconds m_token_deadline{10'000};

    /// Sends the request to the address of an entry and reads the first event.
    running_stream(const std::string& address, http_request request);

    /// Reads until `count` tokens have been received in total or the response has ended.
    void read_tokens(std::uint32_t count);

    /// Reads to the end of the response.
    void read_to_end();

    /// Closes the connection.
    void disconnect();

    /// Sends the request again, with the last event id, to another address.
    void reconnect(const std::string& address);

    /// Returns the request that `reconnect` sends.
    http_request resume_request() const;

    const std::string& text() const { return m_text; }
    std::uint32_t tokens() const { return m_locator.m_next_index; }
    bool done() const { return m_done; }
    time_point last_token_time() const { return m_last_token_time; }

    /// Returns the stream id and stage addresses decoded from the last event id.
    const stream_locator& locator() const { return m_locator; }

    /// Returns the "error" object of the event that ended the response, if there was one.
    const std::optional<boost::json::object>& error() const { return m_error; }

private:
    void read_event();

    http_request m_request;
    std::optional<event_stream> m_events;
    std::string m_text;
    std::string m_last_id;
    stream_locator m_locator;
    time_point m_last_token_time;
    bool m_done{false};
    bool m_ended{false};
    std::optional<boost::json::object> m_error;
};

} // namespace fulmaryard::process_tests

#endif
