#include "fleet.hpp"
#include "report.hpp"
#include "scenarios.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <future>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <tuple>

namespace fulmaryard::benchmark
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds duration{20};

/// Injects faults one at a time and repairs each before the next, on the caller's thread. Only
/// platform outages overlap with the next fault.
class fault_injector
{
public:
    fault_injector(fleet& under_test, std::uint64_t seed) : m_fleet(under_test), m_random(seed) {}

    void run_until(steady::time_point end)
    {
        constexpr std::array<void (fault_injector::*)(), 7> faults{
            &fault_injector::kill_side,       &fault_injector::kill_engine,
            &fault_injector::pause_side,      &fault_injector::silence_connection,
            &fault_injector::platform_outage, &fault_injector::kill_entry,
            &fault_injector::replace_side};
        // Each round injects every kind of fault once, in random order.
        while (steady::now() < end)
        {
            auto order = faults;
            std::shuffle(order.begin(), order.end(), m_random);
            for (const auto fault : order)
            {
                if (steady::now() >= end)
                    break;
                m_range = m_random() % fleet_options::m_ranges;
                m_index = m_random() % 2;
                (this->*fault)();
                ++m_count;
            }
        }
        read_journals();
    }

    std::size_t count() const { return m_count; }
    std::size_t repeated_runs() const { return m_repeated_runs; }
    std::size_t failed_drains() const { return m_failed_drains; }
    std::size_t runs() const { return m_runs; }

private:
    std::string side() const { return fleet::side(m_range, m_index); }

    static void wait(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

    void kill_side()
    {
        m_fleet.system().kill(side());
        wait(200);
        m_fleet.system().restart(side());
        m_fleet.wait_for_side(side());
    }

    void kill_engine()
    {
        read_journal(m_range, m_index);
        m_fleet.system().kill(fleet::engine(m_range, m_index));
        wait(200);
        m_fleet.system().restart(fleet::engine(m_range, m_index));
        m_fleet.wait_for_side(side());
    }

    void pause_side()
    {
        m_fleet.system().pause(side());
        wait(1200);
        m_fleet.system().resume(side());
        m_fleet.wait_for_side(side());
    }

    void silence_connection()
    {
        m_fleet.system().inject(fleet::relay(m_range, m_index), R"({"kind": "silent"})");
        m_fleet.wait_for_side(side());
    }

    void platform_outage()
    {
        // The outage outlasts the wait, so it overlaps with the next fault.
        m_fleet.system().inject("platform", R"({"kind": "outage", "ms": 1500})");
        wait(200);
    }

    void kill_entry()
    {
        const std::string name = m_index == 0 ? "entry-1" : "entry-2";
        m_fleet.system().kill(name);
        wait(200);
        m_fleet.system().restart(name);
        std::ignore = m_fleet.system().wait_ready(name);
        wait(500);
    }

    void replace_side()
    {
        // Does not announce the replacement to the platform, which may be down; the process itself
        // notifies it.
        m_fleet.system().terminate(side());
        const auto code = m_fleet.system().process(side()).wait(std::chrono::seconds(10));
        if (!code.ok() || *code != 0)
            ++m_failed_drains;
        m_fleet.system().restart(side());
        m_fleet.wait_for_side(side());
    }

    void read_journals()
    {
        for (std::size_t range = 0; range < fleet_options::m_ranges; ++range)
        {
            for (std::size_t index = 0; index < 2; ++index)
                read_journal(range, index);
        }
    }

    // Counts positions that an engine ran more than once in the same session.
    void read_journal(std::size_t range, std::size_t index)
    {
        const auto client = m_fleet.system().client(fleet::engine(range, index));
        const boost::json::value journal = client.get_json("/journal");
        const auto* const object = journal.if_object();
        const auto* const runs = object != nullptr ? object->if_contains("runs") : nullptr;
        if (runs == nullptr)
            return;
        std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> seen;
        for (const auto& run : runs->as_array())
        {
            ++m_runs;
            const auto added = seen.emplace(
                std::string(run.at("stream").as_string()),
                run.at("session").to_number<std::uint64_t>(),
                run.at("position").to_number<std::uint64_t>());
            m_repeated_runs += added.second ? 0 : 1;
        }
    }

    fleet& m_fleet;
    std::mt19937_64 m_random;
    std::size_t m_range{0};
    std::size_t m_index{0};
    std::size_t m_count{0};
    std::size_t m_runs{0};
    std::size_t m_repeated_runs{0};
    std::size_t m_failed_drains{0};
};

std::string describe(const std::map<std::string, std::size_t>& errors)
{
    std::string text;
    for (const auto& [error, count] : errors)
        text += fmt::format("{}{} x {}", text.empty() ? "" : "; ", count, error);
    return text;
}

} // namespace

void measure_faults(report& results, std::uint64_t seed)
{
    fmt::print("fault_seed {} seed\n", seed);
    fleet_options options;
    options.m_step_time_us = {2000, 4000};
    options.m_entries = 2;
    options.m_relays = true;
    fleet under_test(options);
    load applied;
    applied.m_addresses = under_test.addresses();
    applied.m_clients = {{"large", 18}, {"small-1", 2}, {"small-2", 2}, {"small-3", 2}};
    applied.m_mean_tokens = 100;
    applied.m_duration = duration;
    applied.m_resumable = true;
    applied.m_finish_streams = true;
    applied.m_seed = seed;
    auto outcomes_of_load = std::async(std::launch::async, [&] { return run_load(applied); });
    fault_injector injector(under_test, seed);
    injector.run_until(steady::now() + duration);
    const auto outcomes = outcomes_of_load.get();
    std::size_t lost = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t repeated = 0;
    std::map<std::string, std::size_t> errors;
    for (const auto& each : outcomes)
    {
        repeated += each->m_repeated_tokens;
        completed += each->m_result == stream_result::completed ? 1 : 0;
        refused += each->m_result == stream_result::refused ? 1 : 0;
        // A stopped stream did not end within the time allowed after the load.
        if (each->m_result == stream_result::lost || each->m_result == stream_result::stopped)
        {
            ++lost;
            ++errors[each->m_error.substr(0, 160)];
        }
    }
    results.add("faults_injected", static_cast<double>(injector.count()), "faults");
    results.add("faults_completed", static_cast<double>(completed), "requests");
    results.add("faults_refused", static_cast<double>(refused), "requests");
    results.add("faults_engine_runs_checked", static_cast<double>(injector.runs()), "runs");
    results.at_most(
        "drain_lost", static_cast<double>(lost), "requests", 0,
        "accepted, but not completed: " + describe(errors));
    results.at_most(
        "failed_drains", static_cast<double>(injector.failed_drains()), "processes", 0,
        "a side process did not exit with code 0 within 10 s of SIGTERM");
    results.at_most(
        "duplicates", static_cast<double>(repeated + injector.repeated_runs()), "tokens", 0,
        fmt::format(
            "{} tokens at callers, {} positions at engines", repeated, injector.repeated_runs()));
    results.at_most("wrong_answers", static_cast<double>(count_wrong(outcomes)), "requests", 0, "");
}

} // namespace fulmaryard::benchmark
