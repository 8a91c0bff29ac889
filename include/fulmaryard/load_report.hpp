#ifndef FULMARYARD_LOAD_REPORT_HPP
#define FULMARYARD_LOAD_REPORT_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Side process to entry: capabilities and current load of its endpoint.
struct load_report
{
    std::string m_process;
    std::string m_address; ///< Peer address of the side process.
    std::string m_model;   ///< Empty for an application worker.
    std::string m_service; ///< Empty for an engine.
    std::string m_kind;    ///< Kind of accelerator.
    std::string m_region;
    std::string m_failure_domain;
    layer_range m_layers;
    std::uint32_t m_outstanding{0};  ///< Open streams plus worker calls in progress.
    std::uint32_t m_batch_limit{1};  ///< Maximum number of sequences per step.
    std::uint32_t m_step_time_us{0}; ///< Measured duration of one step, in microseconds.
    std::uint64_t m_free_kv_positions{0};
    bool m_leaving{false};
    bool m_engine_up{false};
    std::uint64_t m_generation{0};

    friend auto operator<=>(const load_report&, const load_report&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_process, m_address, m_model, m_service, m_kind, m_region, m_failure_domain, m_layers,
            m_outstanding, m_batch_limit, m_step_time_us, m_free_kv_positions, m_leaving,
            m_engine_up, m_generation);
    }
};

} // namespace fulmaryard

#endif
