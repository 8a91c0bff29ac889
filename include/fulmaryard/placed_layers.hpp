#ifndef FULMARYARD_PLACED_LAYERS_HPP
#define FULMARYARD_PLACED_LAYERS_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Layers that an endpoint is to hold.
struct placed_layers
{
    layer_range m_layers;
    /// How many it is to hold when no gap is to be closed; more than these it gives up later.
    std::uint32_t m_usual{0};

    friend auto operator<=>(const placed_layers&, const placed_layers&) = default;
};

} // namespace fulmaryard

#endif
