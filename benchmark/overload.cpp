#include "fleet.hpp"
#include "report.hpp"
#include "scenarios.hpp"

#include <fmt/format.h>

namespace fulmaryard::benchmark
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds duration{5000};
constexpr std::chrono::milliseconds first_token_target{380};
constexpr std::uint32_t mean_tokens = 20;
// Load of each small account relative to the plateau.
constexpr double small_account_share = 0.05;

struct overload_figures
{
    double m_goodput{0};         ///< Tokens/s, see `measure`.
    double m_small_success{0};   ///< Share of the small accounts' requests that completed.
    double m_first_token_p95{0}; ///< Milliseconds.
    std::size_t m_accepted{0};
    std::size_t m_refused{0};
    std::size_t m_lost{0};
    std::string m_lost_error; ///< Error of one lost request.
    std::size_t m_wrong{0};
};

// Goodput is the rate of tokens that belong to correct responses whose first token arrived within
// first_token_target. It is measured from 1 s after the start to the end of the arrivals.
overload_figures measure(double factor, const std::string& settings)
{
    fleet_options options;
    options.m_entry_settings = settings;
    fleet under_test(options);
    const double plateau = options.max_tokens_per_second() / mean_tokens;
    load applied;
    applied.m_addresses = under_test.addresses();
    applied.m_mean_tokens = mean_tokens;
    applied.m_duration = duration;
    applied.m_finish_streams = true;
    // Only the large account's load grows with `factor`.
    for (const char* account : {"small-1", "small-2", "small-3"})
        applied.m_arrivals[account] = small_account_share * plateau;
    applied.m_arrivals["large"] = (factor - 3 * small_account_share) * plateau;
    const auto begin = steady::now() + std::chrono::seconds(1);
    const auto end = begin + duration - std::chrono::seconds(1);
    const auto outcomes = run_load(applied);
    overload_figures figures;
    std::size_t small = 0;
    std::size_t small_completed = 0;
    std::size_t good_tokens = 0;
    std::vector<double> first_tokens;
    for (const auto& each : outcomes)
    {
        const bool is_small = each->m_account != "large";
        const bool correct = is_correct(*each);
        small += is_small ? 1 : 0;
        small_completed += is_small && correct ? 1 : 0;
        figures.m_refused += each->m_result == stream_result::refused ? 1 : 0;
        figures.m_lost += each->m_result == stream_result::lost ? 1 : 0;
        if (each->m_result == stream_result::lost)
            figures.m_lost_error = each->m_error;
        figures.m_accepted += each->m_result == stream_result::completed ? 1 : 0;
        if (each->m_arrivals.empty())
            continue;
        const auto first = each->m_arrivals.front() - each->m_started;
        first_tokens.push_back(std::chrono::duration<double, std::milli>(first).count());
        if (!correct || first > first_token_target)
            continue;
        for (const auto& time : each->m_arrivals)
            good_tokens += time >= begin && time < end ? 1 : 0;
    }
    figures.m_goodput =
        static_cast<double>(good_tokens) / std::chrono::duration<double>(end - begin).count();
    figures.m_small_success = static_cast<double>(small_completed) / static_cast<double>(small);
    figures.m_first_token_p95 = quantile(first_tokens, 0.95);
    figures.m_wrong = count_wrong(outcomes);
    return figures;
}

void add(report& results, const std::string& suffix, const overload_figures& figures)
{
    results.add("goodput_" + suffix, figures.m_goodput, "tokens/s");
    results.add("first_token_p95_" + suffix, figures.m_first_token_p95, "ms");
    results.add("accepted_" + suffix, static_cast<double>(figures.m_accepted), "requests");
    results.add("refused_" + suffix, static_cast<double>(figures.m_refused), "requests");
    results.add("small_account_success_" + suffix, figures.m_small_success, "ratio");
    results.at_most(
        "lost_" + suffix, static_cast<double>(figures.m_lost), "requests", 0,
        "accepted, not completed: " + figures.m_lost_error);
    results.at_most("wrong_" + suffix, static_cast<double>(figures.m_wrong), "requests", 0, "");
}

} // namespace

void measure_overload(report& results)
{
    const auto plateau = measure(1, "");
    add(results, "plateau", plateau);
    const auto tenfold = measure(10, "");
    add(results, "10x", tenfold);
    results.at_least(
        "goodput_at_10x", tenfold.m_goodput / plateau.m_goodput, "ratio", 0.95,
        fmt::format(
            "{:.0f} tokens/s at 10x load, {:.0f} tokens/s at the plateau", tenfold.m_goodput,
            plateau.m_goodput));
    // The maximum that the settings allow for this target effectively disables early refusal.
    const auto naive = measure(10, "first_token_target_ms: 10000\n");
    add(results, "10x_naive", naive);
    results.add("goodput_at_10x_naive", naive.m_goodput / plateau.m_goodput, "ratio");
}

} // namespace fulmaryard::benchmark
