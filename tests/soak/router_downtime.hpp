#ifndef FULMARYARD_ROUTER_DOWNTIME_HPP
#define FULMARYARD_ROUTER_DOWNTIME_HPP

#include <chrono>
#include <compare>
#include <cstddef>

namespace fulmaryard::soak
{

/// An interval in which no process listened at a router's address. Times are relative to the start
/// of the fault injection.
struct router_downtime
{
    std::size_t m_router{0};
    std::chrono::milliseconds m_from{0};
    std::chrono::milliseconds m_to{0};

    friend auto operator<=>(const router_downtime&, const router_downtime&) = default;
};

} // namespace fulmaryard::soak

#endif
