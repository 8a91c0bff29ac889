#include "fleet.hpp"
#include "report.hpp"
#include "scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <thread>

namespace fulmaryard::benchmark
{

namespace
{

using steady = std::chrono::steady_clock;
using milliseconds_f = std::chrono::duration<double, std::milli>;

// Long enough for about 500 tokens per stream; each token takes three 1 ms steps plus the hops.
constexpr std::chrono::milliseconds time_before_failure{3200};
constexpr std::chrono::milliseconds time_after_failure{1500};
// Longer, because the restart strategy generates all tokens again.
constexpr std::chrono::milliseconds time_after_failure_naive{4000};

struct failure_case
{
    const char* m_name;
    bool m_affects_all_streams; ///< Not only the streams on one side process.
    double m_target_ms;         ///< Detection (500 ms for a silent connection) plus 250 ms.
    std::function<void(fleet&)> m_fail;
    std::function<void(fleet&)> m_repair;
};

std::vector<failure_case> failure_cases()
{
    const auto side = fleet::side(1, 0);
    const auto engine = fleet::engine(1, 0);
    const auto relay = fleet::relay(1, 0);
    return {
        {"side", false, 250, [=](fleet& f) { f.system().kill(side); },
         [=](fleet& f)
         {
             f.system().restart(side);
             f.wait_for_side(side);
         }},
        {"engine", false, 250, [=](fleet& f) { f.system().kill(engine); },
         [=](fleet& f)
         {
             f.system().restart(engine);
             f.wait_for_side(side);
         }},
        {"silent", false, 750, [=](fleet& f) { f.system().inject(relay, R"({"kind": "silent"})"); },
         [=](fleet& f) { f.wait_for_side(side); }},
        {"entry", true, 250, [=](fleet& f) { f.system().kill("entry-1"); },
         [=](fleet& f) { f.system().restart("entry-1"); }},
    };
}

struct recovery_figures
{
    std::vector<double> m_times_ms;
    double m_tokens_at_failure{0}; ///< Mean over the affected streams.
    std::size_t m_lost_streams{0}; ///< Got no token after the failure, or ended early.
    std::string m_error;           ///< Error of one lost stream.
};

// True if the stream's plan after `tokens` tokens includes the side process at `address`. An empty
// address matches any plan.
bool ran_on(const stream_outcome& outcome, std::size_t tokens, std::string address)
{
    std::replace(address.begin(), address.end(), ':', '_'); // Event ids replace ':' by '_'.
    std::string plan;
    for (const auto& [first, each] : outcome.m_plans)
    {
        if (first <= tokens)
            plan = each;
    }
    return plan.find(address) != std::string::npos;
}

recovery_figures measure_failure(
    fleet& under_test, const failure_case& failure, std::chrono::milliseconds time_after,
    std::uint64_t seed)
{
    load applied;
    // All streams start at the first entry and reconnect to the second.
    applied.m_addresses = {under_test.addresses()[0]};
    applied.m_clients = {{"large", 16}};
    applied.m_mean_tokens = 2600;
    applied.m_duration = time_before_failure + time_after;
    applied.m_seed = seed;
    applied.m_resumable = true;
    applied.m_reconnect_addresses = {under_test.addresses()[1]};
    steady::time_point failed_at;
    std::thread fault(
        [&]
        {
            std::this_thread::sleep_for(time_before_failure);
            failed_at = steady::now();
            failure.m_fail(under_test);
        });
    const auto outcomes = run_load(applied);
    fault.join();
    const std::string affected =
        failure.m_affects_all_streams ? "" : under_test.system().address(fleet::side(1, 0));
    recovery_figures figures;
    std::size_t streams = 0;
    for (const auto& each : outcomes)
    {
        const auto& arrivals = each->m_arrivals;
        std::size_t before = 0;
        while (before < arrivals.size() && arrivals[before] < failed_at)
            ++before;
        if (before == 0 || !ran_on(*each, before - 1, affected))
            continue;
        ++streams;
        figures.m_tokens_at_failure += static_cast<double>(before);
        // Tokens in flight still arrive after the failure, so the interruption is the longest gap.
        milliseconds_f longest{0};
        milliseconds_f recovered{0};
        for (std::size_t i = before; i < arrivals.size(); ++i)
        {
            const milliseconds_f gap = arrivals[i] - arrivals[i - 1];
            if (gap > longest)
            {
                longest = gap;
                recovered = arrivals[i] - failed_at;
            }
        }
        const bool has_ended = each->m_result == stream_result::lost;
        if (before == arrivals.size() || has_ended)
        {
            ++figures.m_lost_streams;
            figures.m_error = each->m_error;
        }
        else
            figures.m_times_ms.push_back(recovered.count());
    }
    figures.m_tokens_at_failure /= static_cast<double>(std::max<std::size_t>(streams, 1));
    return figures;
}

void measure_strategy(report& results, const std::string& strategy, const std::string& suffix)
{
    fleet_options options;
    options.m_step_time_us = {1000, 1000};
    options.m_batch_limit = 32;
    options.m_entries = 2;
    options.m_relays = true;
    options.m_entry_settings = "recovery: " + strategy + "\n";
    fleet under_test(options);
    const auto time_after = suffix.empty() ? time_after_failure : time_after_failure_naive;
    // The router routes a repeated prompt to the endpoint that served it, so each case uses a new
    // seed and thereby new prompts.
    std::uint64_t seed = 100;
    for (const auto& failure : failure_cases())
    {
        const auto figures = measure_failure(under_test, failure, time_after, ++seed);
        const std::string name = fmt::format("recovery_{}{}", failure.m_name, suffix);
        if (figures.m_times_ms.empty() && figures.m_lost_streams == 0)
            results.missing(name, "no stream ran on the failed process");
        results.add(name + "_tokens_before", figures.m_tokens_at_failure, "tokens");
        results.add(name + "_affected", static_cast<double>(figures.m_times_ms.size()), "streams");
        const double median = quantile(figures.m_times_ms, 0.5);
        const double tail = quantile(figures.m_times_ms, 0.99);
        results.add(name + "_p50", median, "ms");
        if (suffix.empty())
        {
            results.at_most(name + "_p99", tail, "ms", failure.m_target_ms, "");
            results.at_most(
                name + "_lost", static_cast<double>(figures.m_lost_streams), "streams", 0,
                "no token after the failure or ended early: " + figures.m_error);
        }
        else
        {
            results.add(name + "_p99", tail, "ms");
            results.add(name + "_lost", static_cast<double>(figures.m_lost_streams), "streams");
        }
        failure.m_repair(under_test);
    }
}

} // namespace

void measure_recovery(report& results)
{
    measure_strategy(results, "rebuild_stage", "");
    measure_strategy(results, "restart", "_naive");
}

} // namespace fulmaryard::benchmark
