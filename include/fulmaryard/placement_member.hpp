#ifndef FULMARYARD_PLACEMENT_MEMBER_HPP
#define FULMARYARD_PLACEMENT_MEMBER_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Properties of an endpoint that determine which layers are assigned to it.
struct placement_member
{
    std::string m_endpoint;
    std::string m_failure_domain;
    double m_memory_mb{0};
    double m_step_factor{1};           ///< Factor on the engine's decode step time.
    layer_range m_layers;              ///< Layers held or ordered; empty if none.
    std::uint32_t m_nominal_layers{0}; ///< See `placed_layers`; 0 if unknown.
    layer_range m_loaded;              ///< Layers that the endpoint reports as loaded.

    friend auto operator<=>(const placement_member&, const placement_member&) = default;
};

} // namespace fulmaryard

#endif
