#include <fulmaryard/run_history.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

TEST_CASE("the endpoints at which a request may have run")
{
    // Guards against requests that run on more endpoints than their route allows, and against a
    // refusal that says "not run" of a request that may have run.
    const endpoint_run one{"one", 1, "10.0.0.1:80"};
    const endpoint_run other{"other", 1, "10.0.0.2:80"};
    run_history history;
    CHECK(history.count() == 0);
    CHECK_FALSE(history.may_have_run());
    history.on_sent(one);
    CHECK(history.count() == 1);
    CHECK(history.may_have_run());

    SUBCASE("are counted once, however often it was sent there")
    {
        history.on_sent(one);
        CHECK(history.count() == 1);
        CHECK(history.count_with(one) == 1);
        CHECK(history.count_with(other) == 2);
        history.on_sent(other);
        CHECK(history.count() == 2);
        CHECK(history.counted() == std::vector{one, other});
    }
    SUBCASE("include one that refused it the second time")
    {
        history.on_sent(one);
        history.on_refused(one, false);
        CHECK(history.count() == 1);
        CHECK(history.may_have_run());
    }
    SUBCASE("do not include one that refused it")
    {
        history.on_refused(one, true);
        CHECK_FALSE(history.may_have_run());
        SUBCASE("although the refused send may count toward the route's limit") {}
        CHECK(history.count() == 1);
    }
    SUBCASE("do not include one whose refusal does not count")
    {
        history.on_refused(one, false);
        CHECK_FALSE(history.may_have_run());
        CHECK(history.count() == 0);
    }
    SUBCASE("no longer count when they have ended, but it may have run there")
    {
        history.on_ended(one);
        CHECK(history.count() == 0);
        CHECK(history.counted().empty());
        CHECK(history.may_have_run());
        SUBCASE("and their next run counts")
        {
            history.on_sent({"one", 2, "10.0.0.1:80"});
            CHECK(history.count() == 1);
        }
    }
    SUBCASE("are not affected by the end of another endpoint")
    {
        history.on_ended(other);
        CHECK(history.count() == 1);
    }
}

TEST_SUITE_END();
