#ifndef FULMARYARD_ENDPOINT_LOAD_HPP
#define FULMARYARD_ENDPOINT_LOAD_HPP

#include <fulmaryard/layer_range.hpp>
#include <fulmaryard/stalled_call.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// An endpoint's own report of its load; some hundred milliseconds old.
struct endpoint_load
{
    std::uint64_t m_orders{0}; ///< Orders that it has begun since its start.
    std::uint64_t m_running{0};
    std::uint64_t m_waiting{0};
    std::uint64_t m_memory_used{0};  ///< Tokens times layers.
    std::uint64_t m_memory_total{0}; ///< Tokens times layers.
    layer_range m_layers;
    bool m_busy{false};                  ///< Carries out an order.
    double m_pace{1};                    ///< Above 1: slower than usual.
    std::vector<stalled_call> m_stalled; ///< Calls that wait for an endpoint of their path.

    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace fulmaryard

#endif
