#include "process/test_requests.hpp"

#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/rendezvous.hpp>

#include <boost/json/array.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <set>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// One worker behind two side processes, and two entries.
class order_system : public test_system
{
public:
    order_system()
    {
        add_worker("worker");
        add_worker_side("side-1", "worker", "orders", "domain-1");
        add_worker_side("side-2", "worker", "orders", "domain-2");
        add_entry("entry-1", "domain-1");
        add_entry("entry-2", "domain-2");
        REQUIRE(apply("entry-1", make_configuration("kitwerk", {"shop"})) == 0);
        for (const char* entry : {"entry-1", "entry-2"})
        {
            REQUIRE(wait_ready(entry).ok());
            REQUIRE(wait_live(*this, entry, 2));
        }
    }

    // Returns the side process that an entry prefers for the key while both are live.
    std::string preferred(const std::string& key) const
    {
        const auto partition =
            partition_of("shop", "orders", key, call_ledger_settings().m_partitions);
        const auto order = rendezvous_order(partition, {address("side-1"), address("side-2")});
        return order.front() == address("side-1") ? "side-1" : "side-2";
    }

    std::uint64_t platform_calls(const char* kind) const
    {
        const json::value calls = client("platform").get_json("/calls");
        const auto* number = calls.as_object().if_contains(kind);
        return number == nullptr ? 0 : number->to_number<std::uint64_t>();
    }
};

// Repeats an order until its outcome is reported as unknown. Another side process cannot tell that
// the holder of a call has failed until the deadline of the call has passed. The deadline is 5 s,
// and the ledger records store whole seconds, hence the limit of 7 s.
bool wait_for_unknown_outcome(
    const order_system& system, const std::string& entry, const std::string& key)
{
    order_answer answer;
    const bool decided = wait_until(
        seconds(7),
        [&]
        {
            answer = place_order(system, entry, key);
            return answer.m_code != "key_in_progress";
        });
    return decided && answer.m_code == "outcome_unknown" && answer.m_outcome == "unknown";
}

bool is_in_progress_or_unknown(const order_answer& answer)
{
    return answer.m_code == "key_in_progress" || answer.m_code == "outcome_unknown";
}

} // namespace

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("the same keys are sent through two entries concurrently")
{
    // Guards against duplicate execution when two side processes or two entries receive the same
    // new key concurrently.
    constexpr std::size_t keys = 20;
    constexpr std::size_t callers = 4;
    order_system system;
    std::vector<std::future<order_answer>> answers;
    for (std::size_t i = 0; i < keys * callers; ++i)
    {
        answers.push_back(std::async(
            std::launch::async,
            [&system, i]
            {
                return place_order(
                    system, i % 2 == 0 ? "entry-1" : "entry-2", fmt::format("key-{}", i / callers));
            }));
    }
    std::vector<std::set<std::uint64_t>> numbers(keys);
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        const auto answer = answers[i].get();
        CAPTURE(answer.m_status);
        CAPTURE(answer.m_code);
        if (answer.m_status == 201)
            numbers[i / callers].insert(answer.m_number);
        else
            CHECK(is_in_progress_or_unknown(answer));
    }
    for (std::size_t key = 0; key < keys; ++key)
    {
        CHECK(numbers[key].size() == 1);
        CHECK(count_executed_orders(system, fmt::format("key-{}", key)) == 1);
    }
    CHECK(count_executed_orders(system) == keys);
}

TEST_CASE("a key is used again")
{
    order_system system;
    const auto first = place_order(system, "entry-1", "again");
    REQUIRE(first.m_status == 201);
    REQUIRE(first.m_number != 0);

    SUBCASE("with the same body it gets the stored answer")
    {
        const auto second = place_order(system, "entry-2", "again");
        CHECK(second.m_status == 201);
        CHECK(second.m_number == first.m_number);
    }
    SUBCASE("with another body it is refused")
    {
        const auto second = place_order(system, "entry-2", "again", R"({"kit":"large"})");
        CHECK(second.m_status == 422);
        CHECK(second.m_code == "key_reused");
        CHECK(second.m_outcome == "not-run");
    }
    SUBCASE("after its side process ended and its entry was killed it gets the stored answer")
    {
        // The outcome is written after the caller has received its answer. Draining waits for that
        // write, so the side process is terminated rather than killed.
        const std::string side = system.preferred("again");
        system.terminate(side);
        REQUIRE(system.process(side).wait(seconds(10)).ok());
        system.kill("entry-1");
        const auto second = place_order(system, "entry-2", "again");
        CHECK(second.m_status == 201);
        CHECK(second.m_number == first.m_number);
    }
    CHECK(count_executed_orders(system, "again") == 1);
}

TEST_CASE("a platform write takes effect and its answer is lost")
{
    // Guards against a ledger writer that sends the call twice, or not at all, when it cannot tell
    // whether its intent record was stored.
    order_system system;
    for (int i = 0; i < 10; ++i)
    {
        const std::string key = fmt::format("lost-{}", i);
        system.inject("platform", R"({"kind":"lose_answer","match":"/objects/","count":1})");
        const auto answer = place_order(system, i % 2 == 0 ? "entry-1" : "entry-2", key);
        CHECK(answer.m_status == 201);
        CHECK(count_executed_orders(system, key) == 1);
        const auto repeated = place_order(system, i % 2 == 0 ? "entry-2" : "entry-1", key);
        CHECK(repeated.m_status == 201);
        CHECK(repeated.m_number == answer.m_number);
        CHECK(count_executed_orders(system, key) == 1);
    }
    CHECK(system.platform_calls("answers_lost") == 10);
}

TEST_CASE("the platform is slow")
{
    order_system system;
    system.inject("platform", R"({"kind":"delay","ms":300,"match":"/objects/"})");
    const auto answer = place_order(system, "entry-1", "slow");
    CHECK(answer.m_status == 201);
    CHECK(count_executed_orders(system, "slow") == 1);
}

TEST_CASE("the worker closes the connection after the effect")
{
    // Guards against a retry of a call that has already taken effect.
    order_system system;
    system.inject("worker", R"({"kind":"close","count":1,"match":"/orders"})");
    const auto answer = place_order(system, "entry-1", "closed");
    CHECK(answer.m_status >= 500);
    CHECK(answer.m_outcome == "unknown");
    const auto repeated = place_order(system, "entry-2", "closed");
    CHECK(repeated.m_code == "outcome_unknown");
    CHECK(repeated.m_outcome == "unknown");
    CHECK(count_executed_orders(system, "closed") == 1);
}

TEST_CASE("processes are killed with a call in progress")
{
    order_system system;
    const std::string key = "killed";
    const std::string side = system.preferred(key);
    system.inject("worker", R"({"kind":"delay","ms":1500,"match":"/orders"})");
    const std::uint64_t writes = system.platform_calls("writes");
    auto first =
        std::async(std::launch::async, [&] { return place_order(system, "entry-1", key); });
    // At this point the intent is durable, and the worker has not answered yet.
    REQUIRE(wait_until(seconds(2), [&] { return system.platform_calls("writes") > writes; }));
    REQUIRE(count_executed_orders(system, key) == 0);

    SUBCASE("the side process")
    {
        system.kill(side);
        const auto answer = first.get();
        CHECK(answer.m_status >= 500);
        CHECK(answer.m_outcome == "unknown");
        CHECK(is_in_progress_or_unknown(place_order(system, "entry-2", key)));
        CHECK(wait_for_unknown_outcome(system, "entry-2", key));
        system.restart(side);
        REQUIRE(wait_live(system, "entry-1", 2));
        CHECK(place_order(system, "entry-1", key).m_code == "outcome_unknown");
        CHECK(count_executed_orders(system, key) <= 1);
    }
    SUBCASE("the entry")
    {
        system.kill("entry-1");
        CHECK(first.get().m_status == 0);
        // The side process continues the call, and the repeated order waits for its outcome.
        order_answer stored;
        CHECK(wait_until(
            seconds(5),
            [&]
            {
                stored = place_order(system, "entry-2", key);
                return stored.m_status == 201;
            }));
        CHECK(stored.m_number != 0);
        // The other side process of the service returns the same stored answer.
        system.terminate(side);
        REQUIRE(system.process(side).wait(seconds(10)).ok());
        CHECK(place_order(system, "entry-2", key).m_number == stored.m_number);
        CHECK(count_executed_orders(system, key) == 1);
    }
    SUBCASE("the entry and the side process")
    {
        system.kill("entry-1");
        system.kill(side);
        CHECK(first.get().m_status == 0);
        // The other entry detects the failed side process within 750 ms and then uses the other
        // one. 500 ms are allowed on top.
        REQUIRE(wait_live(system, "entry-2", 1, milliseconds(750 + 500)));
        CHECK(is_in_progress_or_unknown(place_order(system, "entry-2", key)));
        CHECK(wait_for_unknown_outcome(system, "entry-2", key));
        CHECK(count_executed_orders(system, key) <= 1);
    }
}

TEST_CASE("platform calls per order")
{
    // Guards against a ledger that writes more than an intent and an outcome per order, or rereads
    // its partitions without need.
    constexpr std::size_t orders = 200;
    order_system system;
    std::size_t concurrency = 1;
    SUBCASE("one order at a time")
    {
        concurrency = 1;
    }
    SUBCASE("64 orders at a time")
    {
        concurrency = 64;
    }
    const std::uint64_t writes = system.platform_calls("writes");
    const std::uint64_t reads = system.platform_calls("reads");
    const std::uint64_t rejections = system.platform_calls("rejected");
    const auto begin = std::chrono::steady_clock::now();
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> placed{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < concurrency; ++i)
    {
        callers.emplace_back(
            [&]
            {
                for (std::size_t order = next++; order < orders; order = next++)
                {
                    const std::string entry = order % 2 == 0 ? "entry-1" : "entry-2";
                    if (place_order(system, entry, fmt::format("load-{}", order)).m_status == 201)
                        ++placed;
                }
            });
    }
    for (std::thread& caller : callers)
        caller.join();
    const auto time =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
    // Outcomes are written after the callers have received their answers: wait until the number of
    // writes has been stable for 200 ms.
    std::uint64_t seen = 0;
    wait_until(
        seconds(2),
        [&]
        {
            std::this_thread::sleep_for(milliseconds(200));
            return std::exchange(seen, system.platform_calls("writes")) == seen;
        });
    const std::uint64_t written = system.platform_calls("writes") - writes;
    const std::uint64_t read = system.platform_calls("reads") - reads;
    const std::uint64_t rejected = system.platform_calls("rejected") - rejections;
    MESSAGE(fmt::format(
        "{} orders, {} at a time: {:.2f} writes and {:.2f} reads per order, {} rejected, {} ms",
        orders, concurrency, static_cast<double>(written) / orders,
        static_cast<double>(read) / orders, rejected, time.count()));
    CHECK(placed == orders);
    CHECK(count_executed_orders(system) == orders);
    CHECK(written <= 2 * orders);
    // Each of the 64 partitions is read once by its preferred side process, and once more after
    // each write that the platform rejected at its limit of 300 writes per second.
    CHECK(read <= 64 + rejected);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("not_run");

TEST_CASE("an order while the platform is down is refused and never runs")
{
    order_system system;
    std::string fault;
    SUBCASE("it answers 503")
    {
        fault = R"({"kind":"outage","match":"/objects/"})";
    }
    SUBCASE("it closes connections")
    {
        fault = R"({"kind":"refuse","match":"/objects/"})";
    }
    SUBCASE("it answers later than the deadline")
    {
        fault = R"({"kind":"delay","ms":6000,"match":"/objects/"})";
    }
    system.inject("platform", fault);
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = place_order(system, "entry-1", "down");
    CHECK(answer.m_status == 503);
    CHECK(answer.m_code == "platform_unavailable");
    CHECK(answer.m_outcome == "not-run");
    // The deadline of the service is 5 s.
    CHECK(std::chrono::steady_clock::now() - begin < seconds(6));
    system.clear_faults("platform");
    // An order with a new key shows that the ledger can write again. That write must not also store
    // the refused order.
    CHECK(wait_until(
        seconds(5), [&] { return place_order(system, "entry-2", "after").m_status == 201; }));
    CHECK(count_executed_orders(system, "down") == 0);
    const auto repeated = place_order(system, "entry-1", "down");
    CAPTURE(repeated.m_code);
    CHECK(repeated.m_status == 201);
    CHECK(count_executed_orders(system, "down") == 1);
}

TEST_SUITE_END();
