#ifndef FULMARYARD_PATH_HOP_HPP
#define FULMARYARD_PATH_HOP_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <string>

namespace fulmaryard
{

/// One endpoint of a path and the layers that it runs for the request.
struct path_hop
{
    std::string m_endpoint; ///< Endpoint id.
    std::string m_address;
    layer_range m_layers;

    friend auto operator<=>(const path_hop&, const path_hop&) = default;
};

} // namespace fulmaryard

#endif
