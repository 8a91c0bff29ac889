#include "stream_simulation.hpp"

#include <doctest/doctest.h>

namespace
{

struct schedule_totals
{
    std::vector<std::string> m_violations;
    std::uint32_t m_replacements{0};
    std::uint32_t m_handovers{0};
    std::uint32_t m_reopened_sessions{0};
};

schedule_totals run_schedules(schedule_options options, std::uint32_t first, std::uint32_t count)
{
    schedule_totals totals;
    for (std::uint32_t seed = first; seed < first + count; ++seed)
    {
        options.m_seed = seed;
        options.m_stages = 1 + seed % 5;
        stream_simulation simulation(options);
        simulation.run();
        totals.m_replacements += simulation.m_replacements;
        totals.m_handovers += simulation.m_handovers;
        totals.m_reopened_sessions += simulation.m_reopened_sessions;
        totals.m_violations.insert(
            totals.m_violations.end(), simulation.m_violations.begin(),
            simulation.m_violations.end());
    }
    return totals;
}

void check_clean(const schedule_totals& totals)
{
    CHECK(totals.m_violations.empty());
    for (std::size_t at = 0; at < totals.m_violations.size() && at < 5; ++at)
        MESSAGE(totals.m_violations[at]);
}

std::size_t wrong_tokens(const schedule_totals& totals)
{
    std::size_t count = 0;
    for (const std::string& text : totals.m_violations)
        if (text.find("does not follow from the answer") != std::string::npos)
            ++count;
    return count;
}

} // namespace

TEST_SUITE_BEGIN("layers_once");

// Faults must not make a layer run a position twice, skip it, or use the input of another position.
TEST_CASE("every layer runs once for each token under random faults")
{
    schedule_options options;
    SUBCASE("lost and repeated messages replace no stage")
    {
        options.m_kill_sides = false;
        options.m_pause_sides = false;
        const auto totals = run_schedules(options, 1, 200);
        check_clean(totals);
        CHECK(totals.m_replacements == 0);
        CHECK(totals.m_reopened_sessions == 0);
    }
    SUBCASE("killed, restarted and paused stages are replaced; the others keep their sessions")
    {
        const auto totals = run_schedules(options, 1000, 400);
        check_clean(totals);
        CHECK(totals.m_replacements > 100);
        CHECK(totals.m_reopened_sessions == 0);
    }
    SUBCASE("outputs are pulled in windows of a few positions")
    {
        options.m_window_bytes = 40;
        const auto totals = run_schedules(options, 1500, 200);
        check_clean(totals);
        CHECK(totals.m_reopened_sessions == 0);
    }
    SUBCASE("engines lose their state as well")
    {
        options.m_engine_losses = true;
        const auto totals = run_schedules(options, 2000, 200);
        check_clean(totals);
        CHECK(totals.m_replacements > 50);
    }
    SUBCASE("outputs are dropped because of the byte limit")
    {
        options.m_max_retained_bytes = 60; // Bytes; holds three outputs.
        SUBCASE("with a large window") {}
        SUBCASE("with a window smaller than the byte limit")
        {
            options.m_window_bytes = 40;
        }
        const auto totals = run_schedules(options, 3000, 200);
        check_clean(totals);
        CHECK(totals.m_reopened_sessions > 0);
    }
}

// A long step must not be treated as a failure of its stage.
TEST_CASE("slow steps replace no stage")
{
    schedule_options options;
    options.m_break_links = false;
    options.m_kill_sides = false;
    options.m_pause_sides = false;
    options.m_max_step_ms = 2500;
    const auto totals = run_schedules(options, 4000, 30);
    check_clean(totals);
    CHECK(totals.m_replacements == 0);
}

// Verifies that the checks above can fail: each case uses the recovery strategy `restart` or
// disables the epoch check.
TEST_CASE("the checks find what the guards prevent")
{
    schedule_options options;
    SUBCASE("restart from the prompt runs positions of surviving stages again")
    {
        options.m_random_sampling = false;
        options.m_recovery = fulmaryard::recovery_strategy::restart;
        const auto totals = run_schedules(options, 1000, 100);
        check_clean(totals);
        CHECK(totals.m_reopened_sessions > 0);
    }
    SUBCASE("restart from the prompt contradicts delivered tokens when samples differ")
    {
        options.m_recovery = fulmaryard::recovery_strategy::restart;
        CHECK(wrong_tokens(run_schedules(options, 1000, 100)) > 0);
    }
    SUBCASE("without the epoch check the stream accepts output of a replaced stage")
    {
        options.m_epoch_check = false;
        CHECK(wrong_tokens(run_schedules(options, 1000, 600)) > 0);
    }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("right_caller");

// A stream must not accept tokens from two owners, and a caller that reconnects must not miss a
// token or receive it twice.
TEST_CASE("another entry takes over a stream")
{
    schedule_options options;
    options.m_handovers = true;
    options.m_random_sampling = false;
    SUBCASE("without other faults")
    {
        options.m_break_links = false;
        options.m_kill_sides = false;
        options.m_pause_sides = false;
        const auto totals = run_schedules(options, 5000, 200);
        check_clean(totals);
        CHECK(totals.m_handovers > 50);
        CHECK(totals.m_reopened_sessions == 0);
    }
    SUBCASE("while links break and messages repeat")
    {
        options.m_kill_sides = false;
        options.m_pause_sides = false;
        check_clean(run_schedules(options, 6000, 200));
    }
    SUBCASE("while links break and sampling a position again gives another token")
    {
        options.m_kill_sides = false;
        options.m_pause_sides = false;
        options.m_random_sampling = true;
        check_clean(run_schedules(options, 6500, 300));
    }
    SUBCASE("while stages are killed, restarted, paused and resumed")
    {
        options.m_engine_losses = true;
        check_clean(run_schedules(options, 7000, 1000));
    }
}

TEST_SUITE_END();
