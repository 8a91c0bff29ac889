#include <fulmaryard/router_presence.hpp>
#include <fulmaryard/stop_admission.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const stop_admission::time_point now{1000s};

/// A stream whose caller permits 400 tokens, on a path of 20 ms a token; most answers have 100.
stopping_stream make_stream()
{
    return {"route", "service", {400, 20}, true, 400, 100};
}

/// Records `count` streams that each lasted `duration`, over the last 30 s.
void answer(
    stream_durations& durations, const std::string& key, int count,
    std::chrono::milliseconds duration)
{
    for (int i = 0; i < count; ++i)
    {
        const auto end = now - 30s * (count - i) / count;
        durations.on_answered(key, make_stream().m_plan, end - duration, 100ms, end);
    }
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a stream that arrives at a stopping router")
{
    // Guards against a stopping router that refuses what it could serve because callers permit
    // longer answers than they get, and against streams that are cut at its exit.
    stream_durations durations;
    const auto expected = [&](bool arrivals_end, bool most_stay = true)
    {
        return stop_admission::expected_duration(
            durations, make_stream(), arrivals_end, most_stay, now);
    };
    SUBCASE("lasts about as long as the others of its route, while callers arrive")
    {
        answer(durations, "route", 50, 2s);
        REQUIRE(expected(false));
        CHECK(expected(false)->m_duration <= 2'001ms);
        CHECK(expected(false)->m_observations == 50);

        SUBCASE("and up to the longest answer once a refused caller finds another router")
        {
            CHECK(expected(true)->m_duration >= 16s); // 400 tokens at twice 20 ms.
        }
    }
    SUBCASE("is judged by the other streams of its service while its route has few answers")
    {
        answer(durations, "route", 10, 6s);
        answer(durations, "service", 50, 3s);
        CHECK(expected(false)->m_duration <= 3'001ms);
    }
    SUBCASE("is judged by half of the streams where most routers stop as well")
    {
        answer(durations, "route", 40, 2s);
        answer(durations, "route", 20, 7s);
        CHECK(expected(false, true)->m_duration >= 7s);
        CHECK(expected(false, false)->m_duration <= 2'001ms);
    }
    SUBCASE("is expected to be twice as long as estimated while nothing is known")
    {
        CHECK(expected(false)->m_duration == 8'700ms); // 200 tokens at twice 20 ms, and prefill.
        CHECK(expected(true)->m_duration == 16'700ms);
    }
    SUBCASE("may be longer than all answers so far where nothing bounds it")
    {
        auto unbounded = make_stream();
        SUBCASE("without a pipeline, whose paths have no known speed")
        {
            unbounded.m_has_pipeline = false;
        }
        SUBCASE("without a longest answer")
        {
            unbounded.m_max_tokens = 0;
        }
        answer(durations, "route", 100, 2s);
        answer(durations, "service", 100, 2s);
        const auto expected_then = [&](bool arrivals_end) {
            return stop_admission::expected_duration(durations, unbounded, arrivals_end, true, now);
        };
        REQUIRE(expected_then(false));
        CHECK(expected_then(false)->m_duration <= 2'001ms);
        CHECK_FALSE(expected_then(true));
    }
    SUBCASE("may last any time without a pipeline and without answers")
    {
        auto plain = make_stream();
        plain.m_has_pipeline = false;
        CHECK_FALSE(stop_admission::expected_duration(durations, plain, false, true, now));
    }
}

TEST_CASE("the routers that stay")
{
    // Guards against refused callers that are told to return while only stopping routers are left.
    router_presence presence;
    CHECK(presence.staying() == 0);
    CHECK_FALSE(presence.most_stay_in("domain-1"));
    presence.on_report("router-2", {"domain-1", false, now});
    presence.on_report("router-3", {"domain-1", false, now});
    presence.on_report("router-4", {"domain-2", false, now});
    CHECK(presence.staying() == 3);
    CHECK(presence.most_stay_in("domain-1"));
    SUBCASE("are fewer once another one stops")
    {
        presence.on_report("router-2", {"domain-1", true, now});
        CHECK(presence.staying() == 2);
        CHECK_FALSE(presence.most_stay_in("domain-1"));
    }
    SUBCASE("do not include a router that was not heard for long")
    {
        presence.on_report("router-4", {"domain-2", false, now + 2s});
        presence.on_tick(now + router_presence::silence + 1ms);
        CHECK(presence.staying() == 1);
        CHECK_FALSE(presence.most_stay_in("domain-1"));
    }
}

TEST_SUITE_END();
