// Benchmarks a complete system on loopback: fulmaryard_benchmark [SCENARIO...] [--seed N]
// Scenarios: throughput, recovery, overload, faults. Runs all of them by default.

#include "report.hpp"
#include "scenarios.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <random>
#include <set>
#include <string>

using namespace fulmaryard::benchmark;

int main(int count, char** values)
{
    const std::set<std::string> known_scenarios{"throughput", "recovery", "overload", "faults"};
    std::set<std::string> selected_scenarios;
    std::uint64_t seed = std::random_device()();
    for (int i = 1; i < count; ++i)
    {
        const std::string word = values[i];
        if (word == "--seed" && i + 1 < count)
            seed = std::strtoull(values[++i], nullptr, 10);
        else if (known_scenarios.count(word) > 0)
            selected_scenarios.insert(word);
        else
        {
            fmt::print(stderr, "usage: fulmaryard_benchmark [SCENARIO...] [--seed N]\n");
            return 2;
        }
    }
    if (selected_scenarios.empty())
        selected_scenarios = known_scenarios;
    try
    {
        report results;
        if (selected_scenarios.count("throughput") > 0)
            measure_throughput(results);
        if (selected_scenarios.count("recovery") > 0)
            measure_recovery(results);
        if (selected_scenarios.count("overload") > 0)
            measure_overload(results);
        if (selected_scenarios.count("faults") > 0)
            measure_faults(results, seed);
        return results.conclude() ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "benchmark failed: {}\n", error.what());
        return 3;
    }
}
