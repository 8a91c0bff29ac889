#ifndef FULMARYARD_RECEIVED_STREAM_HPP
#define FULMARYARD_RECEIVED_STREAM_HPP

#include <fulmaryard/http_message.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// What a caller receives of one stream.
struct received_stream
{
    /// Sends the request to `address` and reads the response to its end, or until no event has come
    /// for `patience`.
    received_stream(
        const std::string& address, const http_request& request,
        std::chrono::milliseconds patience = std::chrono::seconds(5));

    unsigned m_status{0};   ///< 0 if there was no response.
    bool m_complete{false}; ///< The end was that of a complete response.
    std::vector<std::string> m_ids;
    std::vector<std::chrono::steady_clock::time_point> m_received;
};

} // namespace fulmaryard::process_tests

#endif
