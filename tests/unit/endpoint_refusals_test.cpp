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
    // Guards against requests that use up their attempts on an endpoint that shuts down while the
    // store cannot report it, and against an endpoint that stays unused long after a short lack of
    // memory.
    endpoint_refusals refusals;
    refusals.on_refused("one", start);
    CHECK(refusals.paused("one", start + 199ms));
    CHECK_FALSE(refusals.paused("one", start + 200ms));
    CHECK_FALSE(refusals.paused("other", start));

    SUBCASE("is not paused longer for refusals of requests sent before the pause")
    {
        for (int i = 1; i < 50; ++i)
            refusals.on_refused("one", start + i * 1ms);
        CHECK_FALSE(refusals.paused("one", start + 200ms));
    }
    SUBCASE("is tried a few times in ten seconds when it always refuses")
    {
        // One request every 3 ms, more than 300 a second, which would all be sent there without
        // the pause.
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

        SUBCASE("and is used at once after it accepts one")
        {
            refusals.on_accepted("one");
            CHECK_FALSE(refusals.paused("one", start + 10s));
        }
    }
    SUBCASE("is paused by other routers after it refused one of them at several tries")
    {
        CHECK(refusals.repeated_refusals(start + 10ms).empty());
        refusals.on_refused("one", start + 200ms);
        const auto shared = refusals.repeated_refusals(start + 300ms);
        REQUIRE(shared.size() == 1);
        CHECK(shared.front().second == 300ms);
        endpoint_refusals other;
        other.on_peer_pause("one", start + 300ms + shared.front().second, start + 300ms);
        CHECK(other.paused("one", start + 500ms));
        // A pause received from another router is not sent on.
        CHECK(other.repeated_refusals(start + 500ms).empty());
    }
    SUBCASE("starts again at the first pause after a time without refusals")
    {
        refusals.on_refused("one", start + 200ms);
        refusals.on_tick(start + 10s);
        refusals.on_refused("one", start + 10s);
        CHECK_FALSE(refusals.paused("one", start + 10s + 200ms));
    }
}

TEST_SUITE_END();
