#ifndef FULMARYARD_ENTRY_METRICS_HPP
#define FULMARYARD_ENTRY_METRICS_HPP

#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/metrics.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Request type, used as the first index of `entry_metrics::m_requests`.
enum class request_kind : std::size_t
{
    model,
    service,
    other
};

/// Metrics of the request path. Looked up once, so that requests need no registry access.
struct entry_metrics
{
    static constexpr std::array<std::string_view, 3> kinds{"model", "service", "other"};
    static constexpr std::array<std::string_view, 5> outcomes{
        "ok", "not-run", "unknown", "failed", "caller-gone"};

    explicit entry_metrics(metrics& registry)
        : m_first_token(registry.histogram("fulmaryard_first_token_seconds")),
          m_inter_token(registry.histogram("fulmaryard_inter_token_seconds")),
          m_queue(registry.histogram("fulmaryard_queue_seconds")),
          m_recovery(registry.histogram("fulmaryard_recovery_seconds")),
          m_recoveries(registry.counter("fulmaryard_recoveries_total")),
          m_retries(registry.counter("fulmaryard_retries_total")),
          m_attached_streams(registry.counter("fulmaryard_attached_streams_total")),
          m_late_results(registry.counter("fulmaryard_late_results_total"))
    {
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        {
            for (std::size_t i = 0; i < outcomes.size(); ++i)
            {
                m_requests[kind][i] = &registry.counter(
                    "fulmaryard_requests_total", "kind=\"" + std::string(kinds[kind]) +
                                                     "\",outcome=\"" + std::string(outcomes[i]) +
                                                     "\"");
            }
        }
    }

    void count(request_kind kind, std::string_view outcome_name)
    {
        for (std::size_t i = 0; i < outcomes.size(); ++i)
        {
            if (outcomes[i] == outcome_name)
                m_requests[static_cast<std::size_t>(kind)][i]->add();
        }
    }

    std::array<std::array<metric_counter*, outcomes.size()>, kinds.size()> m_requests{};
    metric_histogram& m_first_token;
    metric_histogram& m_inter_token;
    metric_histogram& m_queue;
    metric_histogram& m_recovery;
    metric_counter& m_recoveries;
    metric_counter& m_retries;
    metric_counter& m_attached_streams;
    metric_counter& m_late_results;
};

} // namespace fulmaryard

#endif
