#ifndef FULMARYARD_ENGINE_INFO_HPP
#define FULMARYARD_ENGINE_INFO_HPP

#include <fulmaryard/layer_range.hpp>

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Properties that an engine reports at `GET /v1/info`. `m_kv_free` is a snapshot that may be
/// outdated.
struct engine_info
{
    std::string m_kind; ///< Accelerator type.
    std::string m_model;
    layer_range m_layers;
    std::uint32_t m_layers_total{0};
    std::uint32_t m_step_time_us{0}; ///< Duration of one step, in microseconds.
    std::uint32_t m_batch_limit{1};  ///< Maximum number of sequences per step.
    std::uint64_t m_kv_positions{0}; ///< KV memory capacity, in positions.
    std::uint64_t m_kv_free{0};      ///< Free KV memory, in positions.

    friend auto operator<=>(const engine_info&, const engine_info&) = default;
};

/// Parses the JSON body of `/v1/info`; fails with `invalid_request` when it is malformed or the
/// model or layers are missing.
absl::StatusOr<engine_info> parse_engine_info(std::string_view text);

} // namespace fulmaryard

#endif
