#ifndef FULMARYARD_LAYER_PLAN_HPP
#define FULMARYARD_LAYER_PLAN_HPP

#include <fulmaryard/placed_layers.hpp>

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Key under which the layer plan is kept in the object store.
inline constexpr std::string_view layer_plan_object_key = "fulmaryard/layer-plan";

/// Layers assigned to one run of an endpoint process.
struct planned_layers
{
    std::uint64_t m_started_ms{0}; ///< Start time of the run; a restart loses all layers.
    placed_layers m_target;

    friend auto operator<=>(const planned_layers&, const planned_layers&) = default;
};

/// Layer assignment of all endpoints. It is stored so that another router can take over planning.
struct layer_plan
{
    std::uint64_t m_epoch{0}; ///< Epoch of the lease under which the plan was written.
    std::map<std::string, planned_layers> m_endpoints; ///< By endpoint id.

    friend auto operator<=>(const layer_plan&, const layer_plan&) = default;
};

/// Serializes the plan as JSON.
std::string encode_layer_plan(const layer_plan& plan);

/// Parses the output of `encode_layer_plan`. Returns `invalid_request` if `text` is malformed.
absl::StatusOr<layer_plan> decode_layer_plan(std::string_view text);

} // namespace fulmaryard

#endif
