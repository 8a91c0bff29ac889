// Tests stage failures: every layer runs exactly once per token and the response stays correct.

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

// Limits from docs/design.md, sections 1.2 and 2.1: a silent connection is detected within 500 ms,
// reconnecting takes up to 250 ms, and the stream then recovers within 250 ms.
constexpr milliseconds detection{500};
constexpr milliseconds reconnection{250};
constexpr milliseconds recovery{250};

// Positions of "user: " and of the three words of each prompt below.
constexpr std::size_t prompt_positions = 4;

const std::string content = "bandages for Gent";

milliseconds to_ms(steady_clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

// Reads tokens after a fault and returns the longest interval between them. Tokens in flight at the
// time of the fault still arrive immediately, so the time to the next token would not show the
// interruption.
milliseconds
longest_token_gap(running_stream& stream, steady_clock::time_point fault, std::uint32_t until)
{
    auto last = fault;
    steady_clock::duration longest{0};
    while (stream.tokens() < until && !stream.done())
    {
        stream.read_tokens(stream.tokens() + 1);
        longest = std::max(longest, stream.last_token_time() - last);
        last = stream.last_token_time();
    }
    return to_ms(longest);
}

void check_answer(
    const running_stream& stream, std::uint32_t tokens, const std::string& prompt = content)
{
    if (stream.error())
        FAIL_CHECK(json::serialize(*stream.error()));
    CHECK(stream.done());
    CHECK(stream.text() == model_system::reference(prompt, tokens));
}

// Returns the engines of the stream's plan, except those of the stages in `lost`.
std::vector<std::string> engines_without(
    const model_system& system, const running_stream& stream, const std::vector<std::size_t>& lost)
{
    std::vector<std::string> engines;
    for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
    {
        if (std::find(lost.begin(), lost.end(), stage) == lost.end())
            engines.push_back(model_system::engine_of_side(system.side_at_stage(stream, stage)));
    }
    return engines;
}

} // namespace

TEST_SUITE_BEGIN("layers_once");

// Guards against a recovery that skips, repeats or reorders layers, or exceeds its time limit.
TEST_CASE("streams survive killed processes")
{
    constexpr std::uint32_t tokens = 100;
    constexpr std::size_t positions = prompt_positions + tokens - 1;
    model_system system(2);
    // The streams start one after another, so the fault hits each at a different point within a
    // token.
    std::vector<std::string> prompts{content};
    std::vector<running_stream> streams;
    streams.reserve(4);
    for (const char* each : {"seats on Thursday", "oars for eight", "plasters in blue"})
        prompts.emplace_back(each);
    for (const std::string& prompt : prompts)
    {
        streams.emplace_back(
            system.address(streams.size() % 2 == 0 ? "entry-1" : "entry-2"),
            model_system::chat("shop", prompt, tokens));
    }
    running_stream& first = streams.front();
    first.read_tokens(30);
    const std::array<std::string, model_system::m_stages> sides{
        system.side_at_stage(first, 0), system.side_at_stage(first, 1),
        system.side_at_stage(first, 2)};
    std::vector<std::string> killed;

    SUBCASE("the side process of the first stage")
    {
        killed = {sides[0]};
    }
    SUBCASE("the side process of the middle stage")
    {
        killed = {sides[1]};
    }
    SUBCASE("the side process of the last stage")
    {
        killed = {sides[2]};
    }
    SUBCASE("an engine")
    {
        killed = {model_system::engine_of_side(sides[1])};
    }
    SUBCASE("two side processes at once")
    {
        killed = {sides[0], sides[2]};
    }
    SUBCASE("a side process and the engine of another stage at once")
    {
        killed = {sides[1], model_system::engine_of_side(sides[2])};
    }
    const auto fault = steady_clock::now();
    for (const std::string& each : killed)
        system.process(each).kill(SIGKILL);
    const auto gap = longest_token_gap(first, fault, tokens);
    MESSAGE("longest gap between tokens: ", gap.count(), " ms");
    CHECK(gap < detection + recovery);
    std::size_t affected = 0;
    for (std::size_t i = 0; i < streams.size(); ++i)
    {
        std::vector<std::string> survivors;
        running_stream& stream = streams[i];
        // Events sent before the fault contain the plan of that time.
        if (i > 0)
            stream.read_tokens(1);
        std::vector<std::string> before;
        for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
            before.push_back(i == 0 ? sides[stage] : system.side_at_stage(stream, stage));
        stream.read_to_end();
        check_answer(stream, tokens, prompts[i]);
        for (std::size_t stage = 0; stage < model_system::m_stages; ++stage)
        {
            const std::string engine = model_system::engine_of_side(before[stage]);
            const bool lost =
                std::find(killed.begin(), killed.end(), before[stage]) != killed.end() ||
                std::find(killed.begin(), killed.end(), engine) != killed.end();
            CHECK((system.side_at_stage(stream, stage) != before[stage]) == lost);
            affected += lost ? 1 : 0;
            if (!lost)
                survivors.push_back(engine);
        }
        system.check_positions_run_once(stream.locator().m_stream, survivors, positions);
    }
    CHECK(affected >= killed.size());
    CHECK(
        system.metric("entry-1", "fulmaryard_recoveries_total") +
            system.metric("entry-2", "fulmaryard_recoveries_total") ==
        affected);
}

// Guards against a stage that can be recovered only once.
TEST_CASE("a stream survives the loss of a replacement")
{
    constexpr std::uint32_t tokens = 150;
    model_system system(3);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    const std::string first = system.side_at_stage(stream, 1);
    system.kill(first);
    while (system.side_at_stage(stream, 1) == first && !stream.done())
        stream.read_tokens(stream.tokens() + 1);
    const std::string replacement = system.side_at_stage(stream, 1);
    REQUIRE(replacement != first);
    SUBCASE("after it has produced more tokens")
    {
        stream.read_tokens(stream.tokens() + 20);
    }
    SUBCASE("after its first token") {}
    const auto fault = steady_clock::now();
    system.kill(replacement);
    const auto gap = longest_token_gap(stream, fault, tokens);
    const auto survivors = engines_without(system, stream, {1});
    stream.read_to_end();
    check_answer(stream, tokens);
    CHECK(gap < detection + recovery);
    CHECK(system.side_at_stage(stream, 1) != replacement);
    system.check_positions_run_once(
        stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
}

// Guards against a paused process that resumes and sends data to a stream that has replaced it.
TEST_CASE("a paused side process is replaced and sends nothing after it resumes")
{
    constexpr std::uint32_t tokens = 420;
    model_system system(2);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    std::vector<std::size_t> stages;
    SUBCASE("the middle stage")
    {
        stages = {1};
    }
    SUBCASE("the first and the last stage at once")
    {
        stages = {0, 2};
    }
    std::vector<std::string> paused;
    paused.reserve(stages.size());
    for (const std::size_t stage : stages)
        paused.push_back(system.side_at_stage(stream, stage));
    const auto fault = steady_clock::now();
    for (const std::string& each : paused)
        system.pause(each);
    const auto gap = longest_token_gap(stream, fault, stream.tokens() + 60);
    MESSAGE("longest gap between tokens: ", gap.count(), " ms");
    CHECK(gap < detection + reconnection + recovery);
    const auto runs_of = [&](const std::string& side) {
        return system.journal(model_system::engine_of_side(side), stream.locator().m_stream).size();
    };
    std::vector<std::size_t> runs_before;
    runs_before.reserve(paused.size());
    for (const std::string& each : paused)
        runs_before.push_back(runs_of(each));
    while (steady_clock::now() < fault + std::chrono::seconds(3) && !stream.done())
        stream.read_tokens(stream.tokens() + 1);
    REQUIRE_FALSE(stream.done());
    for (const std::string& each : paused)
        system.resume(each);
    const auto survivors = engines_without(system, stream, stages);
    stream.read_to_end();
    check_answer(stream, tokens);
    system.check_positions_run_once(
        stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
    for (std::size_t i = 0; i < paused.size(); ++i)
    {
        CHECK(system.side_at_stage(stream, stages[i]) != paused[i]);
        // One position may have been in flight to the process when it was paused.
        CHECK(runs_of(paused[i]) <= runs_before[i] + 1);
    }
}

// Guards against a permanently silent connection stalling a stream although a new connection would
// work.
TEST_CASE("a silent connection delays a stream only until it is replaced")
{
    constexpr std::uint32_t tokens = 100;
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
    const auto fault = steady_clock::now();
    system.inject("relay-" + relayed, R"({"kind": "silent"})");
    const auto gap = longest_token_gap(stream, fault, tokens);
    stream.read_to_end();
    check_answer(stream, tokens);
    MESSAGE("longest gap between tokens: ", gap.count(), " ms");
    // Without a gap the fault did not affect the stream and the test would prove nothing.
    CHECK(gap > milliseconds(100));
    CHECK(gap < detection + reconnection + recovery);
    system.check_positions_run_once(
        stream.locator().m_stream, engines_without(system, stream, {}),
        prompt_positions + tokens - 1);
    CHECK(system.metric("entry-1", "fulmaryard_recoveries_total") == 0);
}

// Guards against ending running streams because replacements refuse them: the retry budget applies
// only to requests that have not started to run.
TEST_CASE("refusals of replacements do not end running streams")
{
    constexpr std::uint32_t tokens = 60;
    // Enough callers for the refusals to exceed the retry budget: its minimum of 10 plus 10% of the
    // requests.
    constexpr std::size_t callers = 40;
    model_system system(1);
    // Identical prompts would all be routed to the same replacement.
    const auto prompt_of = [](std::size_t i) { return fmt::format("seats row {}", i); };
    std::vector<running_stream> streams;
    streams.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i)
        streams.emplace_back(
            system.address("entry-1"), model_system::chat("shop", prompt_of(i), tokens));
    for (running_stream& each : streams)
        each.read_tokens(1);
    // Slows the steps to 300 ms so that all streams are still running when the instance is killed.
    system.inject("engine-1-0", R"({"kind": "slow", "factor": 100})");
    system.add_instance(1, 1, "max_streams: 1\n");
    system.add_instance(1, 2);
    REQUIRE(system.wait_live("entry-1", 5));
    system.kill("side-1-0");
    for (std::size_t i = 0; i < callers; ++i)
    {
        streams[i].read_to_end();
        check_answer(streams[i], tokens, prompt_of(i));
    }
    // Checks only every eighth stream because the journals are long; these cover both replacements.
    for (std::size_t i = 0; i < callers; i += 8)
    {
        system.check_positions_run_once(
            streams[i].locator().m_stream, {"engine-0-0", "engine-2-0"},
            prompt_positions + tokens - 1);
    }
    CHECK(system.metric("entry-1", "fulmaryard_recoveries_total") >= callers);
    CHECK(system.metric("side-1-1", "fulmaryard_side_refusals_total") > 10 + callers / 10);
}

// Guards against a recovery that depends on the platform.
TEST_CASE("a stage is replaced while the platform is down")
{
    constexpr std::uint32_t tokens = 150;
    model_system system(2);
    running_stream stream(system.address("entry-1"), model_system::chat("shop", content, tokens));
    stream.read_tokens(30);
    system.inject("platform", R"({"kind": "outage", "ms": 5000})");
    const auto begin = steady_clock::now();
    const std::string killed = system.side_at_stage(stream, 1);
    system.kill(killed);
    const auto gap = longest_token_gap(stream, begin, tokens);
    const auto survivors = engines_without(system, stream, {1});
    stream.read_to_end();
    check_answer(stream, tokens);
    CHECK(system.side_at_stage(stream, 1) != killed);
    CHECK(gap < detection + recovery);
    system.check_positions_run_once(
        stream.locator().m_stream, survivors, prompt_positions + tokens - 1);
    // A request that begins during the outage is served as well.
    running_stream next(system.address("entry-2"), model_system::chat("shop", content, 20));
    next.read_to_end();
    check_answer(next, 20);
    CHECK(steady_clock::now() < begin + std::chrono::seconds(5));
}

// Guards against joining instances that disturb running streams or receive no work.
TEST_CASE("instances that join under load receive work")
{
    constexpr std::uint32_t tokens = 60;
    constexpr std::size_t callers = 50;
    model_system system(1);
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> succeeded{0};
    std::atomic<std::size_t> running{0};
    std::mutex mutex;
    std::vector<std::string> failures;
    std::vector<stream_id> streams;
    const auto call = [&](std::size_t caller)
    {
        for (std::size_t round = 0; !stop; ++round)
        {
            const std::string own_prompt = fmt::format("seats {} {}", caller, round);
            std::string problem;
            try
            {
                running_stream stream(
                    system.address(caller % 2 == 0 ? "entry-1" : "entry-2"),
                    model_system::chat("shop", own_prompt, tokens));
                if (round == 0)
                    ++running;
                stream.read_to_end();
                if (stream.error())
                    problem = json::serialize(*stream.error());
                else if (
                    !stream.done() || stream.text() != model_system::reference(own_prompt, tokens))
                    problem = "wrong answer to " + own_prompt;
                const std::lock_guard lock(mutex);
                streams.push_back(stream.locator().m_stream);
            }
            catch (const std::exception& error)
            {
                problem = error.what();
            }
            if (problem.empty())
            {
                ++succeeded;
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
    // Like any configuration change, a change of the instances takes effect within 8 s.
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
    CHECK(succeeded > callers);
    for (const std::string& failure : failures)
        FAIL_CHECK(failure);
    for (std::size_t i = 0; i < streams.size(); i += 10)
        system.check_positions_run_once(streams[i], {}, 0);
}

TEST_SUITE_END();
