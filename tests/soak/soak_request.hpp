#ifndef FULMARYARD_SOAK_REQUEST_HPP
#define FULMARYARD_SOAK_REQUEST_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmaryard::soak
{

/// One request and its response as the caller observed them. Times are relative to the start of
/// the callers.
struct soak_request
{
    enum class kind
    {
        stream,
        once, ///< Must run at most once.
        repeatable
    };

    std::string m_id;
    kind m_kind{kind::stream};
    std::string m_key;
    std::size_t m_router{0};
    std::uint64_t m_events{0}; ///< Number of events that the caller asks a stream to have.
    std::chrono::milliseconds m_sent{0};
    std::chrono::milliseconds m_ended{0};
    bool m_request_written{false};     ///< The request was written to the connection.
    bool m_reused_connection{false};   ///< Sent on a connection that had carried earlier requests.
    unsigned m_status{0};              ///< HTTP status; 0 when no response header arrived.
    bool m_complete{false};            ///< The response ended as its HTTP framing specifies.
    std::string m_response_attempt_id; ///< Attempt id in the response header.
    std::string m_body;

    friend auto operator<=>(const soak_request&, const soak_request&) = default;
};

} // namespace fulmaryard::soak

#endif
