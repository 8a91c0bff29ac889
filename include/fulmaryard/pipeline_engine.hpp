#ifndef FULMARYARD_PIPELINE_ENGINE_HPP
#define FULMARYARD_PIPELINE_ENGINE_HPP

#include <fulmaryard/accelerator_kind.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// What a model needs from the endpoints that hold its layers.
struct pipeline_engine
{
    std::uint32_t m_layers{0};
    double m_layer_mb{0};              ///< Memory of one layer, megabytes.
    double m_token_bytes{0};           ///< Request memory of one token over all layers, bytes.
    std::uint32_t m_batch_places{1};   ///< Requests that one first endpoint runs at once.
    double m_step_ms{0};               ///< One decode step over all layers at step factor 1.
    double m_step_per_request_ms{0};   ///< Added to a step for each request in the batch.
    double m_read_per_second{0};       ///< Prompt tokens read through all layers at read factor 1.
    double m_load_seconds{0};          ///< Loading all layers.
    std::uint32_t m_loads_at_once{1};  ///< Loads that run at full speed together.
    double m_activation_bytes{0};      ///< Sent from one endpoint of a path to the next, a token.
    double m_pipe_bytes_per_second{0}; ///< Between failure domains, for all requests; 0: unbounded.
    std::uint32_t m_usual_prompt{0};   ///< Mean tokens of a prompt.
    std::uint32_t m_usual_answer{0};   ///< Mean tokens of an answer.
    std::vector<accelerator_kind> m_kinds;

    friend auto operator<=>(const pipeline_engine&, const pipeline_engine&) = default;

    const accelerator_kind* find_kind(const std::string& name) const
    {
        for (const auto& kind : m_kinds)
        {
            if (kind.m_name == name)
                return &kind;
        }
        return nullptr;
    }
};

} // namespace fulmaryard

#endif
