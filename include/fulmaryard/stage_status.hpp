#ifndef FULMARYARD_STAGE_STATUS_HPP
#define FULMARYARD_STAGE_STATUS_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Endpoint counts and load of one pipeline stage.
struct stage_status
{
    layer_range m_layers;
    std::uint32_t m_live{0};        ///< Live endpoints.
    std::uint32_t m_leaving{0};     ///< Endpoints that are shutting down.
    std::uint32_t m_outstanding{0}; ///< Steps queued or running on the live endpoints.

    friend auto operator<=>(const stage_status&, const stage_status&) = default;
};

} // namespace fulmaryard

#endif
