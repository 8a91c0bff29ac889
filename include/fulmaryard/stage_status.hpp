#ifndef FULMARYARD_STAGE_STATUS_HPP
#define FULMARYARD_STAGE_STATUS_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// One stage of a pipeline with the endpoints that can run it.
struct stage_status
{
    layer_range m_layers;
    std::uint32_t m_live{0};
    std::uint32_t m_leaving{0};
    std::uint32_t m_outstanding{0}; ///< Steps, over the live endpoints.

    friend auto operator<=>(const stage_status&, const stage_status&) = default;
};

} // namespace fulmaryard

#endif
