#ifndef FULMARYARD_SERVICE_ROUTE_HPP
#define FULMARYARD_SERVICE_ROUTE_HPP

#include <fulmaryard/call_kind.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// A route: the host and path prefix that it matches, and the policy for matching requests.
struct service_route
{
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix; ///< Begins and ends with a slash.
    call_kind m_kind{call_kind::non_idempotent};
    std::chrono::milliseconds m_timeout{0}; ///< Limit for the whole response.
    /// Latency objective for the response, or for the first event of a stream.
    std::chrono::milliseconds m_latency_objective{0};
    std::uint32_t m_priority{0};     ///< 0 is the most urgent.
    std::uint32_t m_max_attempts{1}; ///< Maximum number of endpoints tried for one call.
    bool m_public{false};            ///< No API key is needed.
    bool m_resumable{false};         ///< A stream may resume at another endpoint.
    std::vector<std::pair<std::string, std::uint32_t>> m_services; ///< Names and weights.

    friend auto operator<=>(const service_route&, const service_route&) = default;
};

} // namespace fulmaryard

#endif
