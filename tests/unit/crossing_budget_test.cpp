#include <fulmaryard/crossing_budget.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

constexpr double pipe_bytes_per_second = 100e6;
constexpr double request_bytes = 20e6;

const std::chrono::steady_clock::time_point start{1000s};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("paths over two failure domains")
{
    // Guards against a pipe between domains that stalls all streams that cross it, once a domain
    // that lost endpoints has no room and sends every request over another.
    crossing_budget budget;

    SUBCASE("are not used while nothing is known of the pipe")
    {
        CHECK_FALSE(budget.may_cross(start));
    }

    budget.set(pipe_bytes_per_second);

    SUBCASE("stay within the pipe's rate when every request wants one")
    {
        // A domain without room for ten seconds, with 100 requests a second.
        int crossed = 0;
        for (int i = 0; i < 1000; ++i)
        {
            const auto now = start + i * 10ms;
            if (!budget.may_cross(now))
                continue;
            budget.take(request_bytes, now);
            ++crossed;
        }
        // 5 a second, and at first what half a second saves up and one more into debt.
        CHECK(crossed >= 50);
        CHECK(crossed <= 54);
    }
    SUBCASE("may be used at once after a calm time, and one may take more than was saved")
    {
        CHECK(budget.may_cross(start));
        budget.take(10 * request_bytes, start);
        CHECK_FALSE(budget.may_cross(start + 100ms));

        SUBCASE("but the debt is worked off first")
        {
            CHECK_FALSE(budget.may_cross(start + 1400ms));
            CHECK(budget.may_cross(start + 1600ms));
        }
    }
}

TEST_SUITE_END();
