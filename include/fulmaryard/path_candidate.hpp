#ifndef FULMARYARD_PATH_CANDIDATE_HPP
#define FULMARYARD_PATH_CANDIDATE_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// An endpoint that a path search may use, with its current load and speed.
struct path_candidate
{
    std::string m_endpoint;
    std::string m_address;
    std::string m_failure_domain;
    layer_range m_layers;
    double m_free_token_layers{0}; ///< Free KV cache, in tokens times layers.
    double m_prefill_wait_ms{0};   ///< Time until the prefills queued here are done, milliseconds.
    double m_prefill_layer_ms{0};  ///< Prefill time per token and layer, milliseconds.
    double m_decode_layer_ms{1};   ///< Decode time per token and layer, milliseconds.
    std::int64_t m_free_slots{0};  ///< Further requests that it accepts as first endpoint.

    friend auto operator<=>(const path_candidate&, const path_candidate&) = default;
};

} // namespace fulmaryard

#endif
