#include "fixed_seed_property.hpp"

#include <fulmaryard/hedge_policy.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const hedge_policy::time_point start{1000s};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("when an answer is late enough for a second attempt")
{
    // Guards against second attempts for typical answers, and against none for the slowest.
    hedge_policy policy;
    policy.set_percent(5);
    SUBCASE("is unknown while few answers are known")
    {
        for (std::size_t i = 1; i < hedge_policy::min_answers; ++i)
            policy.on_answer("route", 60ms);
        CHECK_FALSE(policy.delay("route"));
        policy.on_answer("route", 60ms);
        CHECK(policy.delay("route") == 60ms);
        CHECK_FALSE(policy.delay("another"));
    }
    SUBCASE("is when nearly all others have arrived")
    {
        // One endpoint of twenty takes ten times as long as the others.
        for (int i = 0; i < 100; ++i)
            policy.on_answer("route", i % 20 == 0 ? 600ms : 60ms);
        CHECK(policy.delay("route") == 60ms);

        SUBCASE("and later when all answers take longer")
        {
            for (std::size_t i = 0; i < hedge_policy::max_answers; ++i)
                policy.on_answer("route", 500ms);
            CHECK(policy.delay("route") == 500ms);
        }
    }
    SUBCASE("is never at once")
    {
        for (std::size_t i = 0; i < hedge_policy::min_answers; ++i)
            policy.on_answer("route", 1ms);
        CHECK(policy.delay("route") == hedge_policy::min_delay);
    }
    SUBCASE("does not matter where second attempts are switched off")
    {
        policy.set_percent(0);
        for (std::size_t i = 0; i < hedge_policy::max_answers; ++i)
            policy.on_answer("route", 60ms);
        CHECK_FALSE(policy.delay("route"));
        CHECK_FALSE(policy.try_hedge("service", start));
    }
}

TEST_CASE("the limit of second attempts")
{
    // Guards against an overload that second attempts make worse.
    hedge_policy policy;
    policy.set_percent(2);
    SUBCASE("is a share of the requests of the service")
    {
        for (int i = 0; i < 100; ++i)
            policy.on_request("service", start);
        CHECK(policy.try_hedge("service", start));
        CHECK(policy.try_hedge("service", start));
        CHECK_FALSE(policy.try_hedge("service", start));
        CHECK_FALSE(policy.try_hedge("another", start));

        SUBCASE("of the window")
        {
            CHECK_FALSE(policy.try_hedge("service", start + hedge_policy::window));
        }
    }
    SUBCASE("holds in any window that ends with a second attempt")
    {
        const auto stays_within = [](const std::vector<std::uint16_t>& steps)
        {
            hedge_policy any;
            any.set_percent(10);
            auto now = start;
            std::vector<hedge_policy::time_point> requests;
            std::vector<hedge_policy::time_point> hedges;
            for (const auto step : steps)
            {
                now += std::chrono::milliseconds(step % 700);
                if (step % 4 != 0)
                {
                    requests.push_back(now);
                    any.on_request("service", now);
                }
                else if (any.try_hedge("service", now))
                    hedges.push_back(now);
                const auto in_window = [&](const std::vector<hedge_policy::time_point>& times)
                {
                    return std::count_if(
                        times.begin(), times.end(),
                        [&](auto time) { return time > now - hedge_policy::window; });
                };
                if (!hedges.empty() && hedges.back() == now)
                    RC_ASSERT(in_window(hedges) * 10 <= in_window(requests));
            }
        };
        CHECK(holds(stays_within, 500, 1));
    }
}

TEST_SUITE_END();
