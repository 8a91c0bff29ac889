#include "capacity_parts.hpp"
#include "slope_fit.hpp"

#include "process/test_system.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <chrono>
#include <thread>

namespace fulmaryard::benchmark
{

namespace
{

using process_tests::test_system;

double total_calls(const test_system& system)
{
    double total = 0;
    const auto counted = system.client("platform").get_json("/calls");
    for (const auto& [kind, number] : counted.as_object())
    {
        if (kind != "pending_watches")
            total += number.to_number<double>();
    }
    return total;
}

double pending_watches(const test_system& system)
{
    return system.client("platform").get_json("/calls").at("pending_watches").to_number<double>();
}

/// Number of platform calls caused by `work`: all calls made meanwhile, minus the idle calls
/// expected at `idle_rate` calls/s.
template <typename Work>
double count_extra_calls(const test_system& system, double idle_rate, const Work& work)
{
    const auto began = std::chrono::steady_clock::now();
    const double before = total_calls(system);
    work();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const double made = total_calls(system) - before;
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - began;
    return made - idle_rate * taken.count();
}

double measure_idle_call_rate(const test_system& system)
{
    // The interval is a multiple of the 3 s watch timeout.
    const double before = total_calls(system);
    std::this_thread::sleep_for(std::chrono::seconds(6));
    return (total_calls(system) - before) / 6;
}

} // namespace

void measure_platform_calls()
{
    test_system system;
    system.add_engine("engine-1", {0, 6}, 12);
    system.add_engine("engine-2", {6, 12}, 12);
    system.add_engine_side("side-1", "engine-1", "domain-1");
    system.add_engine_side("side-2", "engine-2", "domain-2");
    system.add_worker("worker");
    system.add_worker_side("side-3", "worker", "orders", "domain-3");
    system.add_entry("entry-1", "domain-1");
    if (system.apply("entry-1", system.make_configuration("kitwerk", {"shop"})) != 0 ||
        !system.wait_ready("entry-1").ok())
    {
        fmt::print(stderr, "system did not become ready\n");
        return;
    }
    const double rate = measure_idle_call_rate(system);
    print_value("idle_platform_calls_of_1_entry_3_sides", rate, "calls/s");
    print_value("pending_watches_of_1_entry_3_sides", pending_watches(system), "watches");

    slope_fit changes;
    int applied = 0;
    for (const int count : {2, 4, 6})
    {
        changes.add(
            count, count_extra_calls(
                       system, rate,
                       [&]
                       {
                           for (int at = 0; at < count; ++at)
                           {
                               // Uses a new account each time; applying an identical file changes
                               // nothing.
                               const std::string account = fmt::format("account-{}", ++applied);
                               if (system.apply(
                                       "entry-1", system.make_configuration(
                                                      "kitwerk", {"shop", account})) != 0)
                                   fmt::print(stderr, "cannot apply the configuration\n");
                           }
                       }));
    }
    changes.print("platform_calls_per_configuration_change", "calls");

    slope_fit orders;
    int ordered = 0;
    for (const int count : {10, 20, 40})
    {
        orders.add(
            count, count_extra_calls(
                       system, rate,
                       [&]
                       {
                           for (int at = 0; at < count; ++at)
                           {
                               const auto answer = system.client("entry-1").post(
                                   "/orders", R"({"kit":"first aid"})",
                                   {{"Authorization", "Bearer " + test_system::bearer("shop")},
                                    {"Idempotency-Key", fmt::format("key-{}", ++ordered)}});
                               if (!answer.ok() || answer->m_status >= 300)
                                   fmt::print(stderr, "order request failed\n");
                           }
                       }));
    }
    orders.print("platform_calls_per_sequential_service_order", "calls");

    slope_fit replaced;
    for (const int count : {1, 2, 4})
    {
        replaced.add(
            count, count_extra_calls(
                       system, rate,
                       [&]
                       {
                           for (int at = 0; at < count; ++at)
                           {
                               system.restart("side-1");
                               std::this_thread::sleep_for(std::chrono::milliseconds(700));
                           }
                       }));
    }
    replaced.print("platform_calls_per_replaced_side_process", "calls");
}

} // namespace fulmaryard::benchmark
