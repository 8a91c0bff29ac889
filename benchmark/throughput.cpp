#include "fleet.hpp"
#include "report.hpp"
#include "scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace fulmaryard::benchmark
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds warm_up_duration{2};
constexpr std::chrono::seconds measurement_duration{4};

struct throughput_figures
{
    double m_bound_ratio{0};
    double m_mean_streams{0};    ///< Mean number of concurrent streams.
    double m_hop_overhead_ms{0}; ///< Mean at saturation.
    std::size_t m_wrong{0};
};

throughput_figures measure_saturation(const std::string& planner)
{
    fleet_options options;
    options.m_entry_settings = "planner: " + planner + "\n";
    fleet under_test(options);
    load applied;
    applied.m_addresses = under_test.addresses();
    applied.m_clients = {{"large", 400}};
    applied.m_duration = warm_up_duration + measurement_duration;
    const auto begin = steady::now() + warm_up_duration;
    const double engines_before = under_test.engine_seconds();
    const auto outcomes = run_load(applied);
    const double engine_seconds = under_test.engine_seconds() - engines_before;
    throughput_figures figures;
    std::size_t in_window = 0;
    std::size_t gaps = 0;
    double gap_seconds = 0;
    std::size_t tokens = 0;
    for (const auto& each : outcomes)
    {
        const auto& arrivals = each->m_arrivals;
        tokens += arrivals.size();
        in_window += static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(),
            [&](const auto& time)
            { return time >= begin && time < begin + measurement_duration; }));
        if (arrivals.size() > 1)
        {
            gaps += arrivals.size() - 1;
            gap_seconds +=
                std::chrono::duration<double>(arrivals.back() - arrivals.front()).count();
        }
    }
    const double rate = static_cast<double>(in_window) /
                        std::chrono::duration<double>(measurement_duration).count();
    const double gap = gap_seconds / static_cast<double>(gaps);
    figures.m_bound_ratio = rate / options.max_tokens_per_second();
    figures.m_mean_streams = rate * gap;
    figures.m_hop_overhead_ms = (gap - engine_seconds / static_cast<double>(tokens)) * 1000 /
                                static_cast<double>(fleet_options::m_ranges);
    figures.m_wrong = count_wrong(outcomes);
    return figures;
}

// Runs a single stream, whose time per token is the sum of the engines' step times and the hop
// overhead. The overhead includes the delay of the engines' timers.
void measure_hops(report& results)
{
    fleet_options options;
    options.m_step_time_us = {5'000, 5'000};
    fleet under_test(options);
    load applied;
    applied.m_addresses = under_test.addresses();
    applied.m_clients = {{"large", 1}};
    applied.m_mean_tokens = 1000;
    applied.m_duration = std::chrono::seconds(4);
    std::vector<double> added;
    for (const auto& each : run_load(applied))
    {
        for (std::size_t i = 1; i < each->m_arrivals.size(); ++i)
        {
            const std::chrono::duration<double, std::milli> gap =
                each->m_arrivals[i] - each->m_arrivals[i - 1];
            added.push_back(gap.count() / fleet_options::m_ranges - 5);
        }
    }
    results.add("hop_overhead_p50", quantile(added, 0.5), "ms");
    results.at_most(
        "hop_overhead_p99", quantile(added, 0.99), "ms", 1,
        "time per token of one stream minus the step times, divided by three hops; includes timer "
        "delays of the simulated engines and scheduling delays");
}

} // namespace

void measure_throughput(report& results)
{
    const auto chosen = measure_saturation("least_wait");
    results.at_least(
        "throughput_of_bound", chosen.m_bound_ratio, "ratio", 0.95,
        fmt::format(
            "{:.0f} concurrent streams, two per batch slot, so batches are not always full; more "
            "streams fill them but increase the time between tokens",
            chosen.m_mean_streams));
    const auto naive = measure_saturation("round_robin");
    results.add("throughput_of_bound_naive", naive.m_bound_ratio, "ratio");
    results.add("streams_at_saturation", chosen.m_mean_streams, "streams");
    results.add("streams_at_saturation_naive", naive.m_mean_streams, "streams");
    results.add("hop_overhead_mean_at_saturation", chosen.m_hop_overhead_ms, "ms");
    results.at_most(
        "throughput_wrong_answers", static_cast<double>(chosen.m_wrong + naive.m_wrong), "streams",
        0, "");
    measure_hops(results);
}

} // namespace fulmaryard::benchmark
