#ifndef FULMARYARD_ENDPOINT_LOAD_HPP
#define FULMARYARD_ENDPOINT_LOAD_HPP

#include <fulmaryard/layer_range.hpp>
#include <fulmaryard/stalled_call.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// Load report of an endpoint about itself. It is a few hundred milliseconds old.
struct endpoint_load
{
    std::uint64_t m_orders_begun{0}; ///< Layer orders begun since the endpoint started.
    std::uint64_t m_running{0};      ///< Requests.
    std::uint64_t m_queued{0};       ///< Requests.
    std::uint64_t m_memory_used{0};  ///< KV cache in use, in tokens times layers.
    std::uint64_t m_memory_total{0}; ///< KV cache capacity, in tokens times layers.
    layer_range m_layers;
    bool m_busy{false};   ///< A layer order is in progress.
    double m_slowdown{1}; ///< Slowdown factor; above 1 means slower than usual.
    std::vector<stalled_call> m_stalled_calls; ///< Calls blocked on an endpoint of their path.

    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace fulmaryard

#endif
