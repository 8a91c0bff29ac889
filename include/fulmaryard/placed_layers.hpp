#ifndef FULMARYARD_PLACED_LAYERS_HPP
#define FULMARYARD_PLACED_LAYERS_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// The layers assigned to an endpoint.
struct placed_layers
{
    layer_range m_layers;
    /// Number of layers the endpoint holds when it covers for no lost endpoint. Layers beyond this
    /// number are released once other endpoints have loaded them.
    std::uint32_t m_nominal_layers{0};

    friend auto operator<=>(const placed_layers&, const placed_layers&) = default;
};

} // namespace fulmaryard

#endif
