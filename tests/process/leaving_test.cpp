#include "process/test_requests.hpp"
#include "standins/reference_model.hpp"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// A system with two pipeline stages of two instances each, and one service with two side processes.
class replicated_system : public test_system
{
public:
    static constexpr std::uint32_t m_layers = 6;

    replicated_system() : test_system({"--instance-lag-ms", "0"})
    {
        for (int i = 1; i <= 2; ++i)
        {
            add_engine(fmt::format("engine-a{}", i), {0, 3}, m_layers);
            add_engine(fmt::format("engine-b{}", i), {3, 6}, m_layers);
            add_engine_side(
                fmt::format("side-a{}", i), fmt::format("engine-a{}", i),
                fmt::format("domain-{}", i));
            add_engine_side(
                fmt::format("side-b{}", i), fmt::format("engine-b{}", i),
                fmt::format("domain-{}", i));
        }
        add_worker("worker");
        add_worker_side("side-w1", "worker", "orders", "domain-1");
        add_worker_side("side-w2", "worker", "orders", "domain-2");
        add_entry("entry-1", "domain-1");
        REQUIRE(apply("entry-1", make_configuration("kitwerk", {"shop"})) == 0);
        REQUIRE(wait_ready("entry-1").ok());
        REQUIRE(wait_live(*this, "entry-1", 6));
    }

    // Returns the number of positions that the engine has executed.
    std::size_t runs(const std::string& engine) const
    {
        return client(engine).get_json("/journal").at("runs").as_array().size();
    }

    // Sends one completion and one order; returns true if both succeed with the expected result.
    bool serve(const std::string& name)
    {
        const auto chat = test_client::complete({address("entry-1")}, make_chat("shop", name, 10));
        const bool correct =
            chat.ok() &&
            chat->m_text == standins::compute_reference(chat_prompt(name), m_layers, 10).m_text;
        if (!correct)
        {
            MESSAGE(
                fmt::format("{}: {}", name, chat.ok() ? "wrong answer" : chat.status().ToString()));
        }
        const auto order = place_order(*this, "entry-1", name);
        if (order.m_status != 201)
            MESSAGE(fmt::format("{}: {} {}", name, order.m_status, order.m_code));
        return correct && order.m_status == 201;
    }
};

} // namespace

TEST_SUITE_BEGIN("leaving");

TEST_CASE("an endpoint leaves while the instance list shows it as live")
{
    // Guards against routing requests to a leaving endpoint because the instance list is stale or
    // unreachable, and against passing the refusal of a leaving endpoint on to the caller.
    replicated_system system;
    bool terminated = false;
    SUBCASE("the list lags by 3 s and then shows it as leaving")
    {
        system.inject("platform", R"({"kind":"instance_lag","ms":3000})");
        system.register_instance("side-a1", true);
        system.register_instance("side-w1", true);
    }
    SUBCASE("it is terminated and the list lags by 3 s")
    {
        system.inject("platform", R"({"kind":"instance_lag","ms":3000})");
        system.register_instance("side-a1", true);
        system.register_instance("side-w1", true);
        terminated = true;
    }
    SUBCASE("it is terminated and the list is unreachable")
    {
        system.inject("platform", R"({"kind":"outage","match":"/instances"})");
        terminated = true;
    }
    if (terminated)
    {
        system.terminate("side-a1");
        system.terminate("side-w1");
    }
    const auto start_time = std::chrono::steady_clock::now();
    // Requests continue for the whole period in which the entry's view is stale.
    int served = 0;
    int request = 0;
    while (std::chrono::steady_clock::now() - start_time < milliseconds(3500))
        served += system.serve(fmt::format("during {}", request++)) ? 1 : 0;
    CHECK(served == request);
    MESSAGE(fmt::format("{} requests while the view was stale", request));
    const std::size_t runs = system.runs("engine-a1");
    const std::size_t other_engine_runs = system.runs("engine-a2");
    for (int i = 0; i < 20; ++i)
        CHECK(system.serve(fmt::format("after {}", i)));
    CHECK(system.runs("engine-a1") == runs);
    CHECK(system.runs("engine-a2") > other_engine_runs);
    // Both processes exit once they have no work left. Without a signal they learn from the
    // instance list that they are leaving, within their poll interval of 2 s.
    for (const char* side : {"side-a1", "side-w1"})
    {
        const auto code = system.process(side).wait(seconds(5));
        REQUIRE(code.ok());
        CHECK(*code == 0);
    }
}

TEST_CASE("a leaving endpoint refuses at once and the request is retried elsewhere")
{
    // Guards against failed requests between the termination signal and the moment the entry learns
    // of it. An open stream keeps the side process running, so it has to refuse new requests.
    replicated_system system;
    auto held = event_stream::open(
        system.address("entry-1"), make_chat("shop", "held open", 2000), seconds(5));
    REQUIRE(held.ok());
    REQUIRE(held->next(seconds(5)).ok());
    const bool first = wait_until(
        seconds(5), [&] { return system.runs("engine-a1") + system.runs("engine-a2") > 0; });
    REQUIRE(first);
    const std::string leaving = system.runs("engine-a1") > 0 ? "side-a1" : "side-a2";
    std::atomic<int> failed{0};
    std::atomic<int> sent{0};
    std::atomic<bool> stop{false};
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller)
    {
        callers.emplace_back(
            [&, caller]
            {
                while (!stop)
                {
                    if (!system.serve(fmt::format("caller {} {}", caller, sent++)))
                        ++failed;
                }
            });
    }
    wait_until(seconds(5), [&] { return sent > 50; });
    system.terminate(leaving);
    const int before = sent;
    wait_until(seconds(5), [&] { return sent > before + 100; });
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    CHECK(failed == 0);
    CHECK(system.process(leaving).running());
    MESSAGE(fmt::format(
        "{} requests sent; {} refused by the leaving side process", sent.load(),
        metric_of(system, leaving, "fulmaryard_side_refusals_total")));
}

TEST_SUITE_END();
