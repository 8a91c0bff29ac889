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

/// Blocking HTTP client of a test; one connection per request.
class test_client
{
public:
    static constexpr std::chrono::milliseconds m_default_deadline{10'000};

    explicit test_client(std::string address) : m_address(std::move(address)) {}

    /// Any HTTP status is a success here. Never repeats a request.
    absl::StatusOr<http_response> send(
        const http_request& request, std::chrono::milliseconds deadline = m_default_deadline) const;

    absl::StatusOr<http_response>
    get(const std::string& target, std::chrono::milliseconds deadline = m_default_deadline) const;
    absl::StatusOr<http_response> post(
        const std::string& target, const std::string& body,
        std::vector<http_field> fields = {}) const;

    /// GET whose body is JSON; null for any failure.
    boost::json::value get_json(const std::string& target) const;

    /// Sends a streamed completion to the first address and reads it to its end. When a connection
    /// breaks or gives no event for `silence`, continues at the next address, in turn, with the
    /// same X-Request-Id and the last event id, at most `reconnections` times. A response other
    /// than 200 is a failure that names the status and has the body as message.
    static absl::StatusOr<streamed_answer> complete(
        const std::vector<std::string>& addresses, const http_request& request,
        std::size_t reconnections = 0, std::chrono::milliseconds silence = m_default_deadline);

    /// Text of a chunk of a chat completion or of a plain completion; empty without one.
    static std::string delta_text(const std::string& data);

private:
    std::string m_address;
};

} // namespace fulmaryard::process_tests

#endif
