#ifndef FULMARYARD_TEST_CLIENT_HPP
#define FULMARYARD_TEST_CLIENT_HPP

#include "process/event_stream.hpp"
#include "process/streamed_answer.hpp"

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// Blocking HTTP client for tests. Opens one connection per request.
class test_client
{
public:
    static constexpr std::chrono::milliseconds m_default_deadline{10'000};

    explicit test_client(std::string address) : m_address(std::move(address)) {}

    /// Sends the request once. Returns every HTTP response, whatever its status, as a success.
    absl::StatusOr<http_response> send(
        const http_request& request, std::chrono::milliseconds deadline = m_default_deadline) const;

    absl::StatusOr<http_response>
    get(const std::string& target, std::chrono::milliseconds deadline = m_default_deadline) const;
    absl::StatusOr<http_response> post(
        const std::string& target, const std::string& body,
        std::vector<http_field> fields = {}) const;

    /// Sends a GET request and parses the JSON body. Returns null on any failure.
    boost::json::value get_json(const std::string& target) const;

    /// Requests a streamed completion from the first address and reads it to its end. If a
    /// connection breaks, ends without "[DONE]" or delivers no event for `idle_timeout`, reconnects
    /// to the next address, round-robin, with the same X-Request-Id and the last event id, at most
    /// `reconnections` times. A status other than 200 is a failure whose message contains the
    /// status and the body.
    static absl::StatusOr<streamed_answer> complete(
        const std::vector<std::string>& addresses, const http_request& request,
        std::size_t reconnections = 0, std::chrono::milliseconds idle_timeout = m_default_deadline);

    /// Returns the text in a chunk of a chat or plain completion; empty if it has none.
    static std::string delta_text(const std::string& data);

private:
    std::string m_address;
};

} // namespace fulmaryard::process_tests

#endif
