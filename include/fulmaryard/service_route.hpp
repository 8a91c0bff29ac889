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

/// One route: which requests it takes and how their calls are treated.
struct service_route
{
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix; ///< Begins and ends with a slash.
    call_kind m_kind{call_kind::non_idempotent};
    std::chrono::milliseconds m_timeout{0};   ///< For the whole answer.
    std::chrono::milliseconds m_objective{0}; ///< For the answer or, of a stream, its first event.
    std::uint32_t m_priority{0};              ///< 0 is the most urgent.
    std::uint32_t m_attempts{1};              ///< Endpoints that one call may be sent to.
    bool m_public{false};                     ///< Needs no key.
    bool m_resumable{false};                  ///< A stream may go on at another endpoint.
    std::vector<std::pair<std::string, std::uint32_t>> m_services; ///< Name and weight.

    friend auto operator<=>(const service_route&, const service_route&) = default;
};

} // namespace fulmaryard

#endif
