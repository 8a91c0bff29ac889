#ifndef FULMARYARD_ACCEPTED_CALL_HPP
#define FULMARYARD_ACCEPTED_CALL_HPP

#include <fulmaryard/request_rank.hpp>
#include <fulmaryard/routed_call.hpp>
#include <fulmaryard/service_route.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace fulmaryard
{

/// A call with its route, client account and time limits.
struct accepted_call
{
    using time_point = std::chrono::steady_clock::time_point;

    routed_call m_call;
    service_route m_route;
    std::string m_service;
    std::string m_account;
    request_rank m_rank;
    time_point m_arrival;
    time_point m_end; ///< The caller's deadline or the route's timeout, whichever is earlier.

    /// When the draining router process stops. A call that may last longer is refused.
    time_point m_shutdown_deadline{time_point::max()};

    std::chrono::milliseconds time_left(time_point now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_end - now);
    }
};

} // namespace fulmaryard

#endif
