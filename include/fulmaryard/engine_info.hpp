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

/// What an engine tells about itself at `GET /v1/info`. Its load figures lag.
struct engine_info
{
    std::string m_kind; ///< Kind of accelerator.
    std::string m_model;
    layer_range m_layers;
    std::uint32_t m_layers_total{0};
    std::uint32_t m_step_time_us{0}; ///< Time of one step, microseconds.
    std::uint32_t m_batch_limit{1};  ///< Sequences per step.
    std::uint64_t m_kv_positions{0}; ///< Capacity of KV memory.
    std::uint64_t m_kv_free{0};

    friend auto operator<=>(const engine_info&, const engine_info&) = default;
};

/// Reads the JSON body of `/v1/info`; `invalid_request` when the model or layers are missing.
absl::StatusOr<engine_info> parse_engine_info(std::string_view text);

} // namespace fulmaryard

#endif
