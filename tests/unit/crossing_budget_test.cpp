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

TEST_CASE("paths across failure domains")
{
    // Guards against saturating the pipe between failure domains, which stalls every stream that
    // uses it. This happens when a domain loses endpoints, has no spare capacity left and routes
    // every request through another domain.
    crossing_budget budget;

    SUBCASE("are refused while the rate of the pipe is unknown")
    {
        CHECK_FALSE(budget.may_cross(start));
    }

    budget.set(pipe_bytes_per_second);

    SUBCASE("stay within the rate of the pipe when every request asks to cross")
    {
        // A domain has no capacity for 10 seconds and receives 100 requests per second.
        int admitted = 0;
        for (int i = 0; i < 1000; ++i)
        {
            const auto now = start + i * 10ms;
            if (!budget.may_cross(now))
                continue;
            budget.charge(request_bytes, now);
            ++admitted;
        }
        // The rate allows 5 requests per second. The initial balance of half a second and one
        // overdraft add to them.
        CHECK(admitted >= 50);
        CHECK(admitted <= 54);
    }
    SUBCASE("are admitted at once after an idle period, and one may overdraw the balance")
    {
        CHECK(budget.may_cross(start));
        budget.charge(10 * request_bytes, start);
        CHECK_FALSE(budget.may_cross(start + 100ms));

        SUBCASE("and no other is admitted until the overdraft is paid back")
        {
            CHECK_FALSE(budget.may_cross(start + 1400ms));
            CHECK(budget.may_cross(start + 1600ms));
        }
    }
}

TEST_SUITE_END();
