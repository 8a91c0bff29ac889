#include <fulmaryard/admission_controller.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/retry_budget.hpp>

#include <doctest/doctest.h>

#include <map>
#include <queue>
#include <random>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const admission_controller::time_point start{1000s};

client_account make_account(const std::string& name)
{
    client_account account;
    account.m_name = name;
    account.m_requests_per_second = 100'000;
    account.m_tokens_per_second = 100'000'000;
    account.m_max_streams = 100'000;
    return account;
}

admission_request make_request(std::uint64_t ticket, std::uint32_t tokens = 100)
{
    admission_request request;
    request.m_ticket = ticket;
    request.m_tokens = tokens;
    return request;
}

struct account_result
{
    int m_requested{0};
    int m_served{0};
};

/// Simulates 10 s of overload with random arrivals: one large account requests 1,900 streams/s and
/// nine small accounts request 10 streams/s each, against a capacity of 200 streams/s.
std::map<std::string, account_result> run_overload(queue_order order)
{
    admission_settings settings;
    settings.m_order = order;
    admission_controller controller(settings);
    controller.set_capacity(20, start);
    constexpr auto stream_duration = 100ms;
    std::mt19937 random(1);
    std::map<std::string, account_result> results;
    std::map<std::uint64_t, std::string> names;
    std::queue<std::pair<admission_controller::time_point, std::uint64_t>> running;
    std::uint64_t ticket = 0;
    const auto apply =
        [&](const admission_controller::decisions& decided, admission_controller::time_point now)
    {
        for (const auto& decision : decided)
        {
            if (!decision.m_status.ok())
                continue;
            ++results[names[decision.m_ticket]].m_served;
            running.emplace(now + stream_duration, decision.m_ticket);
        }
    };
    const auto submit = [&](const std::string& name, admission_controller::time_point now)
    {
        names[++ticket] = name;
        ++results[name].m_requested;
        apply(controller.request(make_account(name), make_request(ticket), now), now);
    };
    for (int millisecond = 0; millisecond < 10'000; ++millisecond)
    {
        const auto now = start + std::chrono::milliseconds(millisecond);
        while (!running.empty() && running.front().first <= now)
        {
            const auto ended = running.front().second;
            running.pop();
            apply(controller.release(ended, now), now);
        }
        for (int i = 0; i < 10; ++i)
        {
            if (random() % 100 < 19)
                submit("large", now);
        }
        for (int small = 0; small < 9; ++small)
        {
            if (random() % 100 == 0)
                submit("small" + std::to_string(small), now);
        }
        if (millisecond % 50 == 0)
            apply(controller.on_tick(now), now);
    }
    return results;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("small accounts keep their service at ten times the capacity")
{
    const auto fair = run_overload(queue_order::fair);
    const auto fifo = run_overload(queue_order::fifo);
    int fair_total = 0;
    int fifo_small = 0;
    int small_requested = 0;
    for (const auto& entry : fair)
    {
        const std::string& name = entry.first;
        const account_result& result = entry.second;
        CAPTURE(name);
        fair_total += result.m_served;
        if (name == "large")
            continue;
        // Each small account requests 10 streams/s, half of its fair share of 20.
        CHECK(result.m_served >= 0.95 * result.m_requested);
        small_requested += result.m_requested;
        fifo_small += fifo.at(name).m_served;
    }
    CHECK(fifo_small < 0.5 * small_requested);
    // Fairness must not cost throughput: at least 95% of the 2,000 possible streams are served.
    CHECK(fair_total >= 1900);
}

TEST_CASE("requests beyond the limits of an account are refused")
{
    admission_controller controller({});
    controller.set_capacity(1000, start);
    auto account = make_account("a");

    SUBCASE("requests per second")
    {
        account.m_requests_per_second = 5;
        for (std::uint64_t i = 0; i < 5; ++i)
            CHECK(controller.request(account, make_request(i), start)[0].m_status.ok());
        const auto refused = controller.request(account, make_request(9), start);
        CHECK(kind_of(refused[0].m_status) == failure_kind::rate_limited);
        CHECK(refused[0].m_retry_after == 200ms);
        CHECK(controller.request(account, make_request(9), start + 200ms)[0].m_status.ok());
    }
    SUBCASE("tokens per second, with a request larger than the burst")
    {
        account.m_tokens_per_second = 100;
        CHECK(controller.request(account, make_request(1, 300), start)[0].m_status.ok());
        CHECK_FALSE(
            controller.request(account, make_request(2, 1), start + 1900ms)[0].m_status.ok());
        CHECK(controller.request(account, make_request(3, 1), start + 2100ms)[0].m_status.ok());
    }
    SUBCASE("concurrent streams")
    {
        account.m_max_streams = 2;
        CHECK(controller.request(account, make_request(1), start)[0].m_status.ok());
        CHECK(controller.request(account, make_request(2), start)[0].m_status.ok());
        const auto refused = controller.request(account, make_request(3), start);
        CHECK(kind_of(refused[0].m_status) == failure_kind::rate_limited);
        controller.release(1, start);
        CHECK(controller.request(account, make_request(3), start)[0].m_status.ok());
    }
    SUBCASE("a service call needs no capacity and no tokens")
    {
        controller.set_capacity(0, start);
        auto call = make_request(1, 0);
        call.m_is_stream = false;
        CHECK(controller.request(account, call, start)[0].m_status.ok());
        CHECK(controller.running() == 0);
    }
}

TEST_CASE("queued requests of an account are admitted by priority")
{
    admission_controller controller({});
    controller.set_capacity(1, start);
    const auto account = make_account("a");
    controller.request(account, make_request(1), start);
    CHECK(controller.request(account, make_request(2), start).empty());
    auto urgent = make_request(3);
    urgent.m_priority = 5;
    CHECK(controller.request(account, urgent, start).empty());
    CHECK(controller.release(1, start)[0].m_ticket == 3);
    CHECK(controller.release(3, start)[0].m_ticket == 2);
}

TEST_CASE("shares of entries with the same view sum to the account limit")
{
    admission_controller one({});
    admission_controller two({});
    const auto account = make_account("a");
    for (std::uint64_t i = 0; i < 30; ++i)
        one.request(account, make_request(i), start);
    for (std::uint64_t i = 0; i < 10; ++i)
        two.request(account, make_request(i), start);
    const auto usage_of_one = one.usage(start);
    one.on_peer_usage("two", two.usage(start), start);
    two.on_peer_usage("one", usage_of_one, start);
    CHECK(one.share("a", start) == doctest::Approx(0.5 * 0.5 + 0.5 * 0.75));
    CHECK(one.share("a", start) + two.share("a", start) == doctest::Approx(1.0));
    CHECK(one.share("idle", start) == doctest::Approx(0.5));
    // After 5 s without a report from the peer, this entry gets the whole limit.
    CHECK(one.share("a", start + 5s) == doctest::Approx(1.0));
}

TEST_CASE("retry budget allows a tenth of the recent requests plus a minimum")
{
    retry_budget budget;
    for (int i = 0; i < 10; ++i)
        CHECK(budget.try_retry(start));
    CHECK_FALSE(budget.try_retry(start));
    for (int i = 0; i < 50; ++i)
        budget.on_request(start + 1s);
    for (int i = 0; i < 5; ++i)
        CHECK(budget.try_retry(start + 1s));
    CHECK_FALSE(budget.try_retry(start + 1s));
    // All earlier requests and retries have left the window of 10 s.
    CHECK(budget.try_retry(start + 12s));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("not_run");

TEST_CASE("a refused request has not run and is not admitted later")
{
    admission_controller controller({});
    controller.set_capacity(1, start);
    const auto account = make_account("a");

    SUBCASE("the expected wait is longer than the first-token target")
    {
        auto late = make_request(1);
        late.m_expected_wait = 381ms;
        const auto refused = controller.request(account, late, start);
        REQUIRE(refused.size() == 1);
        CHECK(kind_of(refused[0].m_status) == failure_kind::overloaded);
        CHECK(outcome_of(refused[0].m_status) == outcome::not_run);
        CHECK(refused[0].m_retry_after == 381ms);
    }
    SUBCASE("a request is queued for the whole first-token target")
    {
        controller.request(account, make_request(1), start);
        CHECK(controller.request(account, make_request(2), start).empty());
        CHECK(controller.on_tick(start + 379ms).empty());
        const auto refused = controller.on_tick(start + 380ms);
        REQUIRE(refused.size() == 1);
        CHECK(outcome_of(refused[0].m_status) == outcome::not_run);
        CHECK(controller.release(1, start + 381ms).empty());
    }
    SUBCASE("a request is queued until its first token would be late")
    {
        // Guards against requests that spend the first-token target in the queue and are then
        // admitted, although their stream needs part of that time itself.
        controller.request(account, make_request(1), start);
        controller.on_first_token(200ms);
        CHECK(controller.max_queue_wait() == 180ms);
        CHECK(controller.request(account, make_request(2), start).empty());
        CHECK(controller.on_tick(start + 179ms).empty());
        const auto refused = controller.on_tick(start + 180ms);
        REQUIRE(refused.size() == 1);
        CHECK(outcome_of(refused[0].m_status) == outcome::not_run);
        // An expired request is not admitted either if capacity is released before the next tick.
        CHECK(controller.request(account, make_request(3), start).empty());
        const auto late = controller.release(1, start + 180ms);
        REQUIRE(late.size() == 1);
        CHECK(outcome_of(late[0].m_status) == outcome::not_run);
        CHECK(controller.running() == 0);
        // Even if streams take longer than the target, requests may be queued for one tick.
        for (int i = 0; i < 100; ++i)
            controller.on_first_token(1s);
        CHECK(controller.max_queue_wait() == 50ms);
    }
    SUBCASE("a queued request is cancelled")
    {
        controller.request(account, make_request(1), start);
        controller.request(account, make_request(2), start);
        controller.release(2, start);
        CHECK(controller.release(1, start).empty());
        CHECK(controller.queued() == 0);
    }
    SUBCASE("a full queue refuses the last request of the account with the most queued")
    {
        admission_settings settings;
        settings.m_max_queued = 3;
        admission_controller small_controller(settings);
        small_controller.set_capacity(1, start);
        for (std::uint64_t i = 1; i <= 4; ++i)
            small_controller.request(account, make_request(i), start);
        const auto decided = small_controller.request(make_account("b"), make_request(5), start);
        REQUIRE(decided.size() == 1);
        CHECK(decided[0].m_ticket == 4);
        CHECK(outcome_of(decided[0].m_status) == outcome::not_run);
        CHECK(small_controller.queued() == 3);
    }
}

TEST_SUITE_END();
