#include <fulmaryard/store_read_schedule.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};
constexpr auto listing = store_read::call_kind::listing;
constexpr auto watch = store_read::call_kind::watch;

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("reads of an object of which only the newest version matters")
{
    // Guards against a router that is many versions behind and reads all of them, each as a whole.
    store_read_schedule schedule(store_read_schedule::need::newest_version);
    REQUIRE(schedule.next_call(start) == listing);
    schedule.on_answer(listing, 1, true, start);
    REQUIRE(schedule.next_call(start) == watch);

    SUBCASE("are watches while versions come one by one")
    {
        schedule.on_answer(watch, 1, true, start + 1s);
        CHECK(schedule.next_call(start + 1s) == watch);
        schedule.on_answer(watch, 0, false, start + 2s);
        CHECK(schedule.next_call(start + 2s) == watch);
    }
    SUBCASE("are listings while versions follow each other closely")
    {
        schedule.on_answer(watch, 3, true, start + 1s);
        CHECK(schedule.next_call(start + 1s) == listing);
        schedule.on_answer(listing, 1, true, start + 2s);
        CHECK(schedule.next_call(start + 2s) == listing);

        SUBCASE("until one brings nothing new")
        {
            schedule.on_answer(listing, 1, false, start + 3s);
            CHECK(schedule.next_call(start + 3s) == watch);
        }
    }
    SUBCASE("are listings after a call that failed")
    {
        schedule.on_behind();
        CHECK(schedule.next_call(start) == listing);
    }
    SUBCASE("are listings after the process was paused")
    {
        CHECK(schedule.next_call(start + store_read_schedule::max_watch_age + 1ms) == listing);
    }
    SUBCASE("are listings after the store dropped its history")
    {
        schedule.on_history_dropped();
        CHECK(schedule.next_call(start) == listing);
    }
}

TEST_CASE("the delay between reads of a slow transfer")
{
    // Guards against a version that is read late because a delay for bursts follows a transfer that
    // has itself taken longer than a burst.
    const auto next = [](auto took)
    { return store_read_schedule::next_call_time(start, start + took, 800ms); };
    CHECK(next(10ms) == start + 800ms);
    CHECK(next(300ms) == start + 800ms);
    CHECK(next(2s) == start + 2s);
}

TEST_CASE("reads of objects of which every change matters")
{
    // Guards against a listing of all endpoints for each of their changes.
    store_read_schedule schedule(store_read_schedule::need::every_change);
    REQUIRE(schedule.next_call(start) == listing);
    schedule.on_answer(listing, 50, true, start);
    schedule.on_answer(watch, 10, true, start + 1s);
    CHECK(schedule.next_call(start + 1s) == watch);
    schedule.on_behind();
    CHECK(schedule.next_call(start + 1min) == watch);
    schedule.on_history_dropped();
    CHECK(schedule.next_call(start + 1min) == listing);
}

TEST_SUITE_END();
