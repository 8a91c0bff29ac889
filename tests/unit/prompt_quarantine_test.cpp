#include <fulmaryard/prompt_quarantine.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};
const prompt_quarantine::part_list sound{"shared", "other"};
const prompt_quarantine::part_list deadly{"shared", "dead"};

bool nobody(const std::string&)
{
    return false;
}

bool everybody(const std::string&)
{
    return true;
}

/// Ten answers to requests with `parts` within the second after `time`.
void answer(
    prompt_quarantine& quarantine, const prompt_quarantine::part_list& parts,
    std::chrono::steady_clock::time_point time)
{
    for (int i = 0; i < 10; ++i)
        quarantine.on_answered(parts, time + i * 100ms);
}

/// Crashes of three endpoints in three seconds under `parts`, beside answers to sound requests.
void crash_three(prompt_quarantine& quarantine, const prompt_quarantine::part_list& parts)
{
    for (int i = 0; i < 3; ++i)
    {
        answer(quarantine, sound, start + i * 1s);
        quarantine.on_crashed(parts, fmt::format("run-{}", i), start + i * 1s + 950ms);
    }
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a part of a prompt under which endpoints crash")
{
    // Guards against requests that crash one endpoint after the other because nothing relates them.
    prompt_quarantine quarantine;
    CHECK_FALSE(quarantine.quarantined(deadly, start));
    crash_three(quarantine, deadly);
    const auto now = start + 3s;

    SUBCASE("is quarantined after three crashes, and the parts beside it are not")
    {
        CHECK(quarantine.quarantined(deadly, now));
        CHECK_FALSE(quarantine.quarantined(sound, now));
        const auto wait = quarantine.admit(deadly, now, everybody);
        REQUIRE(wait);
        CHECK(*wait > 20s);
        CHECK_FALSE(quarantine.admit(sound, now, everybody));
    }
    SUBCASE("is tried once after the quarantine, by one router")
    {
        const auto later = now + prompt_quarantine::initial_duration;
        CHECK(quarantine.admit(deadly, later, nobody) == prompt_quarantine::trial_time);
        CHECK_FALSE(quarantine.admit(deadly, later, everybody));
        CHECK(quarantine.admit(deadly, later, everybody));

        SUBCASE("and is free when the trial is answered")
        {
            quarantine.on_answered(deadly, later + 1s);
            CHECK_FALSE(quarantine.admit(deadly, later + 1s, nobody));
        }
        SUBCASE("and is quarantined for longer when the trial crashes its endpoint")
        {
            quarantine.on_crashed(deadly, "run-9", later + 1s);
            const auto wait = quarantine.admit(deadly, later + 1s, everybody);
            REQUIRE(wait);
            CHECK(*wait > prompt_quarantine::initial_duration);
        }
    }
    SUBCASE("is learned by other routers, also one that saw no crash")
    {
        prompt_quarantine other;
        for (const auto& report : quarantine.reports(now))
            other.on_peer_report(report, now);
        CHECK(other.quarantined(deadly, now));
        CHECK_FALSE(other.quarantined(sound, now));

        SUBCASE("until one of them has it answered")
        {
            other.on_answered(deadly, now + 1s);
            CHECK_FALSE(other.quarantined(deadly, now + 1s));
            for (const auto& report : other.reports(now + 1s))
                quarantine.on_peer_report(report, now + 1s);
            CHECK_FALSE(quarantine.quarantined(deadly, now + 1s));
        }
    }
    SUBCASE("is forgotten when nobody uses it")
    {
        quarantine.on_tick(now + 2 * prompt_quarantine::initial_duration);
        CHECK(quarantine.reports(now + 1h).empty());
        CHECK_FALSE(quarantine.admit(deadly, now + 1h, nobody));
    }
}

TEST_CASE("crashes that several routers observed count together")
{
    // Guards against a part that crashes one endpoint for each router before any of them acts.
    prompt_quarantine routers[3];
    for (int i = 0; i < 3; ++i)
    {
        answer(routers[i], sound, start);
        routers[i].on_crashed(deadly, fmt::format("run-{}", i), start + 1s + i * 100ms);
    }
    for (int i = 1; i < 3; ++i)
    {
        for (const auto& report : routers[i].reports(start + 2s))
            routers[0].on_peer_report(report, start + 2s);
    }
    CHECK(routers[0].quarantined(deadly, start + 2s));
    CHECK_FALSE(routers[1].quarantined(deadly, start + 2s));
}

TEST_CASE("a sound part of a prompt is not quarantined")
{
    // Guards against the refusal of requests because endpoints crashed for other reasons.
    prompt_quarantine quarantine;

    SUBCASE("when its requests are answered between the crashes")
    {
        for (int i = 0; i < 10; ++i)
        {
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + i * 1s);
            answer(quarantine, sound, start + i * 1s);
        }
    }
    SUBCASE("when many endpoints crash at the same moment")
    {
        answer(quarantine, sound, start);
        for (int i = 0; i < 10; ++i)
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + 1s + i * 1ms);
    }
    SUBCASE("when most requests crash their endpoints, whatever they hold")
    {
        for (int i = 0; i < 6; ++i)
        {
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + i * 1s);
            quarantine.on_crashed({"third"}, fmt::format("run-{}", 10 + i), start + i * 1s);
        }
    }
    SUBCASE("when one endpoint crashes with many of its requests")
    {
        answer(quarantine, {"third"}, start);
        for (int i = 0; i < 10; ++i)
            quarantine.on_crashed(sound, "run-1", start + 1s + i * 100ms);
    }
    CHECK_FALSE(quarantine.quarantined(sound, start + 10s));
}

TEST_CASE(
    "a request that crashed its endpoint is sent again only if its parts are known to be sound")
{
    // Guards against one request that crashes two endpoints before others were seen to do so.
    prompt_quarantine quarantine;
    CHECK(quarantine.may_repeat({}, start));
    CHECK_FALSE(quarantine.may_repeat(deadly, start));
    quarantine.on_answered(sound, start);
    CHECK(quarantine.may_repeat(sound, start + 1s));
    CHECK_FALSE(quarantine.may_repeat(deadly, start + 1s));
    CHECK_FALSE(quarantine.may_repeat(sound, start + prompt_quarantine::evidence_lifetime));
}

TEST_SUITE_END();
