#include "fixed_seed_property.hpp"

#include <fulmaryard/caller_activity.hpp>
#include <fulmaryard/request_memory.hpp>
#include <fulmaryard/request_share.hpp>

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t limit = 1024 * 1024;
constexpr std::size_t small = 16 * 1024;
constexpr std::size_t large = 256 * 1024;

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("requests that share the memory of a process")
{
    // Guards against callers that use up the memory of a process with large or unfinished bodies.
    request_memory memory(limit);
    std::list<request_share> requests;
    const auto hold = [&](std::size_t bytes)
    { return requests.emplace_back(memory).try_hold(bytes); };
    SUBCASE("are held up to three quarters of it if they are large")
    {
        for (int i = 0; i < 3; ++i)
            CHECK(hold(large));
        CHECK_FALSE(hold(large));

        SUBCASE("and beside them small ones")
        {
            for (int i = 0; i < 16; ++i)
                CHECK(hold(small));
            CHECK_FALSE(hold(small));
        }
        SUBCASE("and again once one of them has ended")
        {
            requests.pop_front();
            CHECK(hold(large));
        }
        SUBCASE("but do not grow further")
        {
            CHECK_FALSE(requests.front().try_hold(2 * large));
            CHECK(requests.front().held() == large);
            CHECK(requests.front().try_hold(small));
        }
    }
    SUBCASE("are held whatever their size if there is no other large one")
    {
        CHECK(hold(small));
        CHECK(hold(2 * limit));
        CHECK_FALSE(hold(large));
    }
    SUBCASE("return what they hold")
    {
        CHECK(hold(large));
        requests.clear();
        CHECK(memory.used() == 0);
    }
}

TEST_CASE("the memory of requests in any order")
{
    // Guards against a sum that exceeds the limit, and against memory that is not returned.
    const auto stays_bounded = [](const std::vector<std::uint16_t>& steps)
    {
        request_memory memory(limit);
        std::vector<std::unique_ptr<request_share>> requests;
        for (const auto step : steps)
        {
            const std::size_t at = step % 8;
            while (requests.size() <= at)
                requests.push_back(std::make_unique<request_share>(memory));
            if (step % 5 == 0)
                requests[at]->release();
            else
                requests[at]->try_hold(static_cast<std::size_t>(step) * 5);
            std::size_t sum = 0;
            for (const auto& request : requests)
                sum += request->held();
            RC_ASSERT(sum == memory.used());
            RC_ASSERT(sum <= limit);
        }
        requests.clear();
        RC_ASSERT(memory.used() == 0U);
    };
    CHECK(holds(stays_bounded, 300, 1));
}

TEST_CASE("the callers that a server waits for")
{
    // Guards against closing the connection of a caller that still sends.
    using state = caller_activity::state;
    const caller_activity::time_point start{1000s};
    caller_activity callers;
    CHECK_FALSE(callers.longest());
    callers.on_bytes(1, state::incomplete, start);
    callers.on_bytes(2, state::incomplete, start + 10ms);
    callers.on_bytes(3, state::idle, start - 1s);
    CHECK(callers.longest() == 3);
    CHECK(callers.longest_incomplete(100ms, start + 100ms) == 1);

    SUBCASE("count from their last byte")
    {
        callers.on_bytes(1, state::incomplete, start + 50ms);
        CHECK(callers.longest_incomplete(50ms, start + 100ms) == 2);
        CHECK_FALSE(callers.longest_incomplete(100ms, start + 100ms));
    }
    SUBCASE("do not include one whose request is complete")
    {
        callers.remove(1);
        CHECK(callers.longest_incomplete(0ms, start + 100ms) == 2);
        callers.remove(2);
        CHECK_FALSE(callers.longest_incomplete(0ms, start + 100ms));
    }
}

TEST_SUITE_END();
