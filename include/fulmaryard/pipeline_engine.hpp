#ifndef FULMARYARD_PIPELINE_ENGINE_HPP
#define FULMARYARD_PIPELINE_ENGINE_HPP

#include <fulmaryard/accelerator_kind.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Resource needs and performance figures of a model whose layers are split across endpoints.
struct pipeline_engine
{
    /// Number of layers of the model.
    std::uint32_t m_layers{0};
    /// Memory of the weights of one layer, megabytes.
    double m_layer_mb{0};
    /// Request memory (KV cache) per token over all layers, bytes.
    double m_kv_bytes_per_token{0};
    /// Maximum concurrent requests per first endpoint of a path.
    std::uint32_t m_max_batch_size{1};
    /// Duration of a decode step over all layers at step factor 1, milliseconds.
    double m_decode_step_ms{0};
    /// Added to a decode step for each request in the batch, milliseconds.
    double m_decode_step_per_request_ms{0};
    /// Prompt tokens per second through all layers at read factor 1.
    double m_prefill_tokens_per_second{0};
    /// Time to load all layers, seconds.
    double m_full_load_seconds{0};
    /// Number of concurrent loads that still run at full speed.
    std::uint32_t m_max_full_speed_loads{1};
    /// Bytes per token sent from an endpoint to the next in a path.
    double m_activation_bytes_per_token{0};
    /// Bandwidth between failure domains, all requests; 0 if unlimited.
    double m_cross_domain_bytes_per_second{0};
    /// Mean prompt length, tokens.
    std::uint32_t m_mean_prompt_tokens{0};
    /// Mean response length, tokens.
    std::uint32_t m_mean_response_tokens{0};
    std::vector<accelerator_kind> m_accelerator_kinds;

    friend auto operator<=>(const pipeline_engine&, const pipeline_engine&) = default;

    /// Returns the accelerator kind called `name`, or null if there is none.
    const accelerator_kind* find_accelerator_kind(const std::string& name) const
    {
        for (const auto& kind : m_accelerator_kinds)
        {
            if (kind.m_name == name)
                return &kind;
        }
        return nullptr;
    }
};

} // namespace fulmaryard

#endif
