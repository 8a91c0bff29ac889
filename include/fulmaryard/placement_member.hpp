#ifndef FULMARYARD_PLACEMENT_MEMBER_HPP
#define FULMARYARD_PLACEMENT_MEMBER_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// An endpoint as the placement of layers sees it.
struct placement_member
{
    std::string m_endpoint;
    std::string m_failure_domain;
    double m_memory_mb{0};
    double m_step_factor{1};  ///< Multiplies the time of a decode step.
    layer_range m_layers;     ///< That it holds or has been ordered to hold; empty: none.
    std::uint32_t m_usual{0}; ///< How many it holds when no gap is to be closed; 0: not known.
    layer_range m_loaded;     ///< That it reports as loaded.

    friend auto operator<=>(const placement_member&, const placement_member&) = default;
};

} // namespace fulmaryard

#endif
