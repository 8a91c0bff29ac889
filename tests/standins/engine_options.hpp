#ifndef FULMARYARD_ENGINE_OPTIONS_HPP
#define FULMARYARD_ENGINE_OPTIONS_HPP

#include <cstdint>
#include <string>

namespace fulmaryard::standins
{

/// Command line of the engine stand-in.
struct engine_options
{
    std::string m_listen{"127.0.0.1:0"};
    std::string m_kind{"standin"};
    std::string m_model{"standin-model"};
    std::uint64_t m_first_layer{0};
    std::uint64_t m_end_layer{8};
    std::uint64_t m_total_layers{8};
    std::uint64_t m_step_time_us{2000};
    std::uint64_t m_prefill_position_us{20};
    std::uint64_t m_batch_limit{32};
    std::uint64_t m_kv_positions{1'000'000};
    std::uint64_t m_finish_modulus{0};       ///< See `ends_answer`.
    std::uint64_t m_load_lag_ms{200};        ///< Maximum age of the reported load.
    std::uint64_t m_cache_blocks{4096};      ///< Capacity of `prefix_cache`.
    std::uint64_t m_cache_event_lag_ms{500}; ///< Delay before a cache event is published.
    std::uint64_t m_cache_event_gap{7};      ///< Loses one in this many events; 0: none.
    bool m_ignore_fencing{false};            ///< Accepts orders with an outdated epoch.
};

} // namespace fulmaryard::standins

#endif
