#include "fixed_seed_property.hpp"

#include <fulmaryard/stream_durations.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const stream_durations::time_point start{1000s};
const auto long_after = start + 1h;

/// Records `count` streams with an announced answer of 10 tokens at 100 ms.
void record(
    stream_durations& durations, std::size_t count, std::chrono::milliseconds first_event,
    std::chrono::milliseconds rest)
{
    for (std::size_t i = 0; i < count; ++i)
        durations.on_answered("r", {10, 100}, start, first_event, start + first_event + rest);
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("how long a stream is expected to last")
{
    // Guards against streams that a stopping router takes although it ends before they do.
    stream_durations durations;

    SUBCASE("is unknown until enough streams of its route were answered")
    {
        record(durations, stream_durations::min_answers - 1, 100ms, 1s);
        CHECK_FALSE(durations.estimate("r", {10, 100}, long_after));
        record(durations, 1, 100ms, 1s);
        CHECK(durations.estimate("r", {10, 100}, long_after));
        CHECK_FALSE(durations.estimate("other", {10, 100}, long_after));
    }
    SUBCASE("is not settled while longer streams cannot have ended yet")
    {
        record(durations, 40, 100ms, 1900ms);
        CHECK_FALSE(durations.estimate("r", {10, 100}, start + 3s)->m_settled);
        CHECK(durations.estimate("r", {10, 100}, start + 4s)->m_settled);
    }
    SUBCASE("follows the announced length")
    {
        record(durations, 40, 100ms, 2s);
        const auto estimate = durations.estimate("r", {10, 100}, long_after);
        REQUIRE(estimate);
        CHECK(*estimate == duration_estimate{2100ms, 40, true});
        CHECK(durations.estimate("r", {40, 100}, long_after)->m_duration == 8100ms);
    }
    SUBCASE("follows a slower path, but does not count on a faster one")
    {
        record(durations, 40, 100ms, 2s);
        CHECK(durations.estimate("r", {10, 200}, long_after)->m_duration == 4100ms);
        CHECK(durations.estimate("r", {10, 50}, long_after)->m_duration == 2100ms);
    }
    SUBCASE("is bounded, whatever length a caller announces")
    {
        record(durations, 40, 100ms, 2s);
        CHECK(
            durations.estimate("r", {1e18, 100}, long_after)->m_duration ==
            stream_durations::max_duration);
    }
    SUBCASE("rests on the newest answers")
    {
        record(durations, stream_durations::max_answers, 100ms, 2s);
        record(durations, stream_durations::max_answers, 100ms, 1s);
        const auto estimate = durations.estimate("r", {10, 100}, long_after);
        REQUIRE(estimate);
        CHECK(*estimate == duration_estimate{1100ms, stream_durations::max_answers, true});
    }
    SUBCASE("is forgotten for the route that was used least recently")
    {
        record(durations, 40, 100ms, 1s);
        for (std::size_t i = 0; i < stream_durations::max_routes; ++i)
            durations.on_answered(std::to_string(i), {1, 1}, start, 1ms, start + 1h);
        CHECK_FALSE(durations.estimate("r", {10, 100}, long_after));
    }
}

TEST_CASE("an expected duration is never below the quantile that it states")
{
    const auto property = []
    {
        const auto count = *rc::gen::inRange<std::size_t>(stream_durations::min_answers, 300);
        const stream_durations::plan planned{
            static_cast<double>(*rc::gen::inRange(1, 1'000)),
            static_cast<double>(*rc::gen::inRange(1, 100))};
        stream_durations durations;
        std::vector<std::chrono::milliseconds> lasted;
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto first = std::chrono::milliseconds(*rc::gen::inRange(0, 5'000));
            const auto rest = std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
            lasted.push_back(first + rest);
            durations.on_answered("r", planned, start, first, start + first + rest);
        }
        const auto estimate = durations.estimate("r", planned, long_after);
        RC_ASSERT(estimate.has_value());
        const auto newest = std::min(count, stream_durations::max_answers);
        const auto within = std::count_if(
            lasted.end() - static_cast<std::ptrdiff_t>(newest), lasted.end(),
            [&](auto each) { return each <= estimate->m_duration; });
        RC_ASSERT(
            static_cast<double>(within) >=
            stream_durations::default_quantile * static_cast<double>(newest));
    };
    CHECK(holds(property, 200, 1));
}

TEST_SUITE_END();
