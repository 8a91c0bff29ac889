#ifndef FULMARYARD_ENDPOINT_NOTICE_HPP
#define FULMARYARD_ENDPOINT_NOTICE_HPP

#include <chrono>
#include <compare>
#include <optional>
#include <string>

namespace fulmaryard
{

/// What an endpoint says of itself in the head of an answer.
struct endpoint_notice
{
    bool m_leaving{false}; ///< It is shutting down and must get no new requests.
    /// It wants no requests for this long, from the arrival of the answer on.
    std::optional<std::chrono::milliseconds> m_no_work_for;
    std::string m_unreadable; ///< Value that could not be used; empty if there is none.
    /// Requests per second that it takes from all routers together, for as long as it says so.
    std::optional<double> m_request_rate{};

    friend auto operator<=>(const endpoint_notice&, const endpoint_notice&) = default;
};

} // namespace fulmaryard

#endif
