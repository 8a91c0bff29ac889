// Streams whose stages fail: every layer runs once for each token, and the answer stays right.

#include "process/model_system.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>
#include <vector>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

// docs/design.md, sections 1.2 and 2.1: a silent connection is noticed within 500 ms, a
// reconnection takes up to 250 ms, and a stream recovers within 250 ms after that.
constexpr milliseconds detection{500};
constexpr milliseconds reconnection{250};
constexpr milliseconds recovery{250};

// Of "user: " and the three words of each prompt below.
constexpr std::size_t prompt_positions = 4;

const std::string content = "bandages for Gent";

milliseconds to_ms(steady_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

// Reads on from a fault and returns the longest time between tokens: those that were on their way
// when the fault occurred arrive at once, so the time to the next token alone would show nothing.
milliseconds longest_gap(running_stream& stream, std::uint32_t until)
{
    auto last = steady_clock::now();
    steady_clock::duration longest{0};
    while (stream.tokens() < until && !stream.done())
    {
        stream.read_tokens(stream.tokens() + 1);
        longest = std::max(longest, stream.last_token() - last);
        last = stream.last_token();
    }
    return to_ms(longest);
}

void check_answer(const running_stream& stream, std::uint32_t tokens)
{
    if (stream.error())
        FAIL_CHECK(json::serialize(*stream.error()));
    CHECK(stream.done());
    CHECK(stream.text() == model_system::reference(content, tokens));
}

// Engines of a stream's plan apart from those of the stages that were lost.
std::vector<std::string> engines_without(
    const model_system& system, const running_stream& stream, const std::vector<std::size_t>& lost)
{
    std::vector<std::string> engines;
    for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
    {
        if (std::find(lost.begin(), lost.end(), stage) == lost.end())
            engines.push_back(model_system::engine_beside(system.side_of(stream, stage)));
    }
    return engines;
}

} // namespace

TEST_SUITE_BEGIN("layers_once");

// Guards against a recovery that skips, repeats or reorders layers, or takes longer than promised.
TEST_CASE("a stream survives processes that are killed")
{
    constexpr std::uint32_t tokens = 120;
    constexpr std::size_t positions = prompt_positions + tokens - 1;
    model_system system(2);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    REQUIRE(stream.tokens() >= 30);
    const std::array<std::string, model_system::m_stages> sides{
        system.side_of(stream, 0), system.side_of(stream, 1), system.side_of(stream, 2)};
    std::vector<std::size_t> lost;
    milliseconds gap{0};

    SUBCASE("the side process of the first stage")
    {
        lost = {0};
        system.kill(sides[0]);
        gap = longest_gap(stream, tokens);
    }
    SUBCASE("the side process of the middle stage")
    {
        lost = {1};
        system.kill(sides[1]);
        gap = longest_gap(stream, tokens);
    }
    SUBCASE("the side process of the last stage")
    {
        lost = {2};
        system.kill(sides[2]);
        gap = longest_gap(stream, tokens);
    }
    SUBCASE("an engine")
    {
        lost = {1};
        system.kill(model_system::engine_beside(sides[1]));
        gap = longest_gap(stream, tokens);
    }
    SUBCASE("two side processes at once")
    {
        lost = {0, 2};
        system.process(sides[0]).kill(SIGKILL);
        system.process(sides[2]).kill(SIGKILL);
        gap = longest_gap(stream, tokens);
    }
    SUBCASE("a side process and the engine of another stage at once")
    {
        lost = {1, 2};
        system.process(sides[1]).kill(SIGKILL);
        system.process(model_system::engine_beside(sides[2])).kill(SIGKILL);
        gap = longest_gap(stream, tokens);
    }
    const auto survivors = engines_without(system, stream, lost);
    stream.read_to_end();
    check_answer(stream, tokens);
    MESSAGE("longest gap between tokens: ", gap.count(), " ms");
    CHECK(gap < detection + recovery);
    system.check_layers_once(stream.locator().m_stream, survivors, positions);
}

// Guards against a recovery that works only once for a stage.
TEST_CASE("a stream survives the loss of a replacement")
{
    constexpr std::uint32_t tokens = 150;
    model_system system(3);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    const std::string first = system.side_of(stream, 1);
    system.kill(first);
    while (system.side_of(stream, 1) == first && !stream.done())
        stream.read_tokens(stream.tokens() + 1);
    const std::string replacement = system.side_of(stream, 1);
    REQUIRE(replacement != first);
    SUBCASE("after it has given tokens")
    {
        stream.read_tokens(stream.tokens() + 20);
    }
    SUBCASE("as soon as it has given one") {}
    system.kill(replacement);
    const auto gap = longest_gap(stream, tokens);
    const auto survivors = engines_without(system, stream, {1});
    stream.read_to_end();
    check_answer(stream, tokens);
    CHECK(gap < detection + recovery);
    CHECK(system.side_of(stream, 1) != replacement);
    system.check_layers_once(stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
}

// Guards against a process that resumes and feeds a stream that has gone on without it.
TEST_CASE("a paused side process is replaced and feeds nothing when it resumes")
{
    constexpr std::uint32_t tokens = 500;
    model_system system(2);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    std::size_t stage = 0;
    SUBCASE("first stage")
    {
        stage = 0;
    }
    SUBCASE("middle stage")
    {
        stage = 1;
    }
    SUBCASE("last stage")
    {
        stage = 2;
    }
    const std::string paused = system.side_of(stream, stage);
    const std::string engine = model_system::engine_beside(paused);
    const auto paused_at = steady_clock::now();
    system.pause(paused);
    const auto gap = longest_gap(stream, stream.tokens() + 60);
    CHECK(gap < detection + reconnection + recovery);
    const std::size_t run_before = system.journal(engine, stream.locator().m_stream).size();
    while (steady_clock::now() < paused_at + std::chrono::seconds(3) && !stream.done())
        stream.read_tokens(stream.tokens() + 1);
    REQUIRE_FALSE(stream.done());
    system.resume(paused);
    const auto survivors = engines_without(system, stream, {stage});
    stream.read_to_end();
    check_answer(stream, tokens);
    CHECK(system.side_of(stream, stage) != paused);
    system.check_layers_once(stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
    // One position may have been on its way to the process when it was stopped.
    CHECK(system.journal(engine, stream.locator().m_stream).size() <= run_before + 1);
}

// Guards against connections that go silent for ever and stop a stream while new ones would work.
TEST_CASE("a silent connection delays a stream by its detection only")
{
    constexpr std::uint32_t tokens = 250;
    std::string relayed;
    SUBCASE("between two side processes and to the first stage")
    {
        relayed = "side-0-0";
    }
    SUBCASE("between two side processes and to the middle stage")
    {
        relayed = "side-1-0";
    }
    SUBCASE("between two side processes and to the last stage")
    {
        relayed = "side-2-0";
    }
    SUBCASE("from the side processes to the entry")
    {
        relayed = "entry-1";
    }
    model_system system(1, 3000, {relayed});
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    system.inject("relay-" + relayed, R"({"kind": "silent"})");
    const auto gap = longest_gap(stream, tokens);
    stream.read_to_end();
    check_answer(stream, tokens);
    MESSAGE("longest gap between tokens: ", gap.count(), " ms");
    CHECK(gap < detection + reconnection + recovery);
    system.check_layers_once(
        stream.locator().m_stream, engines_without(system, stream, {}),
        prompt_positions + tokens - 1);
    CHECK(system.metric("entry-1", "fulmaryard_recoveries_total") == 0);
}

// Guards against a recovery that asks the platform.
TEST_CASE("a stage is replaced while the platform is down")
{
    constexpr std::uint32_t tokens = 150;
    model_system system(2);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    system.inject("platform", R"({"kind": "outage", "ms": 5000})");
    const auto begin = steady_clock::now();
    system.kill(system.side_of(stream, 1));
    const auto gap = longest_gap(stream, tokens);
    const auto survivors = engines_without(system, stream, {1});
    stream.read_to_end();
    check_answer(stream, tokens);
    CHECK(gap < detection + recovery);
    system.check_layers_once(stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
    // A request that begins during the outage is served as well.
    running_stream next(system.address("entry-2"), model_system::chat("shop", content, 20));
    next.read_to_end();
    check_answer(next, 20);
    CHECK(steady_clock::now() < begin + std::chrono::seconds(5));
}

// Guards against instances that join and disturb what runs, or get no work.
TEST_CASE("instances that join under load take part")
{
    constexpr std::uint32_t tokens = 60;
    constexpr std::size_t callers = 50;
    model_system system(1);
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> right{0};
    std::atomic<std::size_t> running{0};
    std::mutex mutex;
    std::vector<std::string> failures;
    std::vector<stream_id> streams;
    const auto call = [&](std::size_t caller)
    {
        for (std::size_t round = 0; !stop; ++round)
        {
            const std::string own = fmt::format("seats {} {}", caller, round);
            std::string problem;
            try
            {
                running_stream stream(
                    system.address(caller % 2 == 0 ? "entry-1" : "entry-2"),
                    model_system::chat("shop", own, tokens));
                if (round == 0)
                    ++running;
                stream.read_to_end();
                if (stream.error())
                    problem = json::serialize(*stream.error());
                else if (!stream.done() || stream.text() != model_system::reference(own, tokens))
                    problem = "wrong answer to " + own;
                const std::lock_guard lock(mutex);
                streams.push_back(stream.locator().m_stream);
            }
            catch (const std::exception& error)
            {
                problem = error.what();
            }
            if (problem.empty())
            {
                ++right;
                continue;
            }
            const std::lock_guard lock(mutex);
            failures.push_back(problem);
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller)
        threads.emplace_back(call, caller);
    CHECK(model_system::eventually([&] { return running == callers; }, std::chrono::seconds(10)));
    for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
        system.add_instance(stage, 1);
    // Changes of the fleet are in force within the 8 s of any change of the configuration.
    const bool took_part = model_system::eventually(
        [&]
        {
            for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
            {
                if (system.metric(fmt::format("side-{}-1", stage), "fulmaryard_side_runs_total") ==
                    0)
                    return false;
            }
            return true;
        },
        std::chrono::seconds(8));
    stop = true;
    threads.clear();
    CHECK(took_part);
    CHECK(right > callers);
    for (const std::string& failure : failures)
        FAIL_CHECK(failure);
    for (std::size_t i = 0; i < streams.size(); i += 10)
        system.check_layers_once(streams[i], {}, 0);
}

TEST_SUITE_END();
