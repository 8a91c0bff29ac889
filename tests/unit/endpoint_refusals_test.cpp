#include <fulmaryard/endpoint_refusals.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("an endpoint that refuses requests")
{
    // Guards against requests that use up their attempts at an endpoint which leaves while the
    // store cannot say so, and against one that is left out long after a short lack of memory.
    endpoint_refusals refusals;
    refusals.on_refused("one", start);
    CHECK(refusals.paused("one", start + 199ms));
    CHECK_FALSE(refusals.paused("one", start + 200ms));
    CHECK_FALSE(refusals.paused("other", start));

    SUBCASE("is not paused longer for refusals of what was sent together")
    {
        for (int i = 1; i < 50; ++i)
            refusals.on_refused("one", start + i * 1ms);
        CHECK_FALSE(refusals.paused("one", start + 200ms));
    }
    SUBCASE("is tried a few times in ten seconds when it always refuses")
    {
        // 300 requests a second would each be sent there.
        int tries = 0;
        for (auto now = start; now < start + 10s; now += 3ms)
        {
            refusals.on_tick(now);
            if (refusals.paused("one", now))
                continue;
            ++tries;
            refusals.on_refused("one", now);
        }
        CHECK(tries <= 9);

        SUBCASE("and is used at once when it accepts one again")
        {
            refusals.on_accepted("one");
            CHECK_FALSE(refusals.paused("one", start + 10s));
        }
    }
    SUBCASE("is paused by other routers when it refused one of them at several tries")
    {
        CHECK(refusals.repeated(start + 10ms).empty());
        refusals.on_refused("one", start + 200ms);
        const auto told = refusals.repeated(start + 300ms);
        REQUIRE(told.size() == 1);
        CHECK(told.front().second == 300ms);
        endpoint_refusals other;
        other.on_peer_pause("one", start + 300ms + told.front().second, start + 300ms);
        CHECK(other.paused("one", start + 500ms));
        // What was only heard is not passed on.
        CHECK(other.repeated(start + 500ms).empty());
    }
    SUBCASE("is forgotten after a quiet time")
    {
        refusals.on_refused("one", start + 200ms);
        refusals.on_tick(start + 10s);
        refusals.on_refused("one", start + 10s);
        CHECK_FALSE(refusals.paused("one", start + 10s + 200ms));
    }
}

TEST_SUITE_END();
