#ifndef FULMARYARD_ENDPOINT_FIXTURE_HPP
#define FULMARYARD_ENDPOINT_FIXTURE_HPP

#include <fulmaryard/directory_view.hpp>

#include <memory>
#include <string>

namespace fulmaryard
{

/// A live endpoint with a batch limit of 10, a step time of 10 ms and 100,000 free KV cache
/// positions; `others` is the load reported for other entries.
inline endpoint make_endpoint(
    const std::string& name, layer_range layers, std::uint32_t others = 0,
    const std::string& domain = "a")
{
    endpoint made;
    made.m_address = name;
    made.m_state = endpoint_state::live;
    made.m_others_outstanding = others;
    made.m_counters = std::make_shared<endpoint_counters>();
    auto& report = made.m_report;
    report.m_process = "process-" + name;
    report.m_address = name;
    report.m_model = "model";
    report.m_region = "region";
    report.m_failure_domain = domain;
    report.m_layers = layers;
    report.m_batch_limit = 10;
    report.m_step_time_us = 10'000;
    report.m_free_kv_positions = 100'000;
    report.m_engine_up = true;
    return made;
}

} // namespace fulmaryard

#endif
