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

/// Name of the stored object that holds the plan.
inline constexpr std::string_view layer_plan_object = "fulmaryard/layer-plan";

/// Layers that one run of an endpoint is to hold.
struct planned_layers
{
    std::uint64_t m_started_ms{0}; ///< Names the run; a later run holds nothing.
    placed_layers m_placed;

    friend auto operator<=>(const planned_layers&, const planned_layers&) = default;
};

/// What all endpoints are to hold, so that another router can go on where one ended.
struct layer_plan
{
    std::uint64_t m_epoch{0}; ///< Of the lease under which it was written.
    std::map<std::string, planned_layers> m_endpoints;

    friend auto operator<=>(const layer_plan&, const layer_plan&) = default;
};

std::string encode_layer_plan(const layer_plan& plan);

/// Reads what `encode_layer_plan` writes; `invalid_request` for anything else.
absl::StatusOr<layer_plan> decode_layer_plan(std::string_view text);

} // namespace fulmaryard

#endif
