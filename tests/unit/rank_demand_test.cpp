#include "fixed_seed_property.hpp"

#include <fulmaryard/rank_demand.hpp>
#include <fulmaryard/request_rank.hpp>
#include <fulmaryard/wait_queue.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const rank_demand::time_point start{1000s};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("the rank of a request")
{
    // Guards against urgent routes that lose their rank because all accounts have the same one.
    CHECK(request_rank::of(1, 0).value() < request_rank::of(1, 2).value());
    CHECK(request_rank::of(0, 2).value() < request_rank::of(1, 0).value());
    CHECK(request_rank::of({}, 0).value() < request_rank::of({}, 1).value());
    CHECK(request_rank::of({}, 400).value() > request_rank::of(1, 400).value());
    CHECK(request_rank::of(1, 0).urgency() < request_rank::of(1, 1).urgency());
    CHECK(request_rank::of(0, 2).urgency() < request_rank::of(1, 0).urgency());
    CHECK(request_rank::of(4'000'000'000U, 4'000'000'000U).urgency() == 9);
}

TEST_CASE("the demand of urgent requests")
{
    // Guards against memory that is kept for ranks that do not arrive, or not kept for those that
    // do.
    rank_demand demand;
    SUBCASE("is unknown to a router that has just started")
    {
        CHECK(demand.rate_above(2, start) == 0);
        CHECK(demand.own_rates(start).empty());
    }
    SUBCASE("is the rate of the ranks above, over the window")
    {
        for (int i = 0; i < 20; ++i)
        {
            demand.on_arrival(0, 1000, start + i * 100ms);
            demand.on_arrival(1, 500, start + i * 100ms);
        }
        const auto now = start + 1900ms;
        CHECK(demand.rate_above(0, now) == 0);
        CHECK(demand.rate_above(1, now) == doctest::Approx(10'000));
        CHECK(demand.rate_above(2, now) == doctest::Approx(15'000));

        SUBCASE("and ends when they stop arriving")
        {
            CHECK(demand.rate_above(2, now + 1s) < 15'000);
            CHECK(demand.rate_above(2, now + rank_demand::window + 100ms) == 0);
        }
        SUBCASE("and includes what other routers report")
        {
            demand.on_peer_report("router-2", {{0, 4'000}, {2, 9'000}}, now);
            CHECK(demand.rate_above(1, now) == doctest::Approx(14'000));
            CHECK(demand.own_rate_above(1, now) == doctest::Approx(10'000));

            SUBCASE("until a router is silent")
            {
                const auto later = now + rank_demand::peer_report_lifetime + 1ms;
                CHECK(demand.rate_above(1, later) == demand.own_rate_above(1, later));
            }
        }
    }
    SUBCASE("is not reported while all requests have the same rank")
    {
        demand.on_arrival(1, 1000, start);
        CHECK(demand.own_rates(start).empty());
        demand.on_arrival(2, 1000, start);
        CHECK(demand.own_rates(start).size() == 2);
    }
}

TEST_CASE("a burst of the least urgent rank")
{
    // Replays a burst of a batch route beside an urgent one: endpoints release the memory of 40
    // requests a second, 30 urgent ones arrive. Guards against urgent callers that wait or return
    // behind the burst.
    wait_queue queue;
    for (int i = 1; i <= 80; ++i)
        queue.on_released(1000, start - wait_queue::rate_window + i * 25ms);
    constexpr double urgent_rate = 30'000;
    queue.may_wait({1, false, false, 2, 1000, start}, start - wait_queue::rate_window);
    std::uint64_t id = 0;
    std::size_t waiting = 0;
    for (int i = 0; i < 100; ++i)
    {
        const wait_queue::waiting_request batch{++id, false, false, 2, 1000, start + 600ms};
        if (!queue.may_wait(batch, start, urgent_rate))
            continue;
        queue.add(batch);
        ++waiting;
    }
    SUBCASE("waits only for what urgent requests leave")
    {
        CHECK(waiting == 6); // 10 requests per second for 600 ms.
    }
    SUBCASE("does not make urgent requests wait")
    {
        CHECK(queue.goes_before_all(0));
        const wait_queue::waiting_request urgent{++id, false, false, 0, 1000, start + 250ms};
        CHECK(queue.may_wait(urgent, start));
        queue.add(urgent);
        CHECK(queue.next() == urgent.m_id);
        CHECK_FALSE(queue.goes_before_all(0));

        SUBCASE("nor when its callers return")
        {
            queue.add({++id, false, true, 2, 1000, start + 600ms});
            CHECK(queue.next() == urgent.m_id);
        }
        SUBCASE("but a stream that is being read goes on first")
        {
            queue.add({++id, true, true, 2, 1000, start + 1s});
            CHECK(queue.next() == id);
            CHECK_FALSE(queue.goes_before_all(0));
        }
    }
    SUBCASE("returns behind urgent callers")
    {
        std::chrono::milliseconds last_batch{0};
        for (int i = 0; i < 50; ++i)
            last_batch = queue.assign_retry_after(1000, start, 2, urgent_rate);
        CHECK(last_batch >= 4s);
        CHECK(queue.assign_retry_after(1000, start, 0) < 500ms);
    }
    SUBCASE("is told to return later, spread, when urgent requests take everything")
    {
        const auto first = queue.assign_retry_after(1000, start, 2, 50'000);
        const auto second = queue.assign_retry_after(1000, start, 2, 50'000);
        CHECK(first >= wait_queue::max_retry_after / 2);
        CHECK(second > first);
        CHECK(second <= wait_queue::max_retry_after);
    }
}

TEST_CASE("the order of ranks in the queue")
{
    // Guards against a request that is served while a more urgent one waits.
    const auto highest_rank_first = [](const std::vector<std::uint8_t>& bytes)
    {
        wait_queue queue;
        std::vector<wait_queue::waiting_request> waiting;
        for (const auto byte : bytes)
        {
            waiting.push_back(
                {waiting.size() + 1, false, byte % 2 == 0, byte / 2U % 4, 1000, start + 1s});
            queue.add(waiting.back());
        }
        while (!waiting.empty())
        {
            const auto next = std::find_if(
                waiting.begin(), waiting.end(),
                [&](const auto& request) { return request.m_id == queue.next(); });
            RC_ASSERT(next != waiting.end());
            for (const auto& other : waiting)
                RC_ASSERT(next->m_priority <= other.m_priority);
            queue.remove(next->m_id);
            waiting.erase(next);
        }
    };
    CHECK(holds(highest_rank_first, 200, 1));
}

TEST_SUITE_END();
