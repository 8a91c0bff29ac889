#include <fulmaryard/failure.hpp>
#include <fulmaryard/lease.hpp>
#include <fulmaryard/order_gate.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t lease_duration_ms = 10'000;

/// Engine that records the epochs of executed orders and optionally rejects stale ones.
struct fake_engine
{
    absl::Status execute(const engine_order& order)
    {
        if (m_checks_epochs && order.m_epoch < m_highest)
            return make_failure(
                failure_kind::stale_epoch, "stale epoch", dispatch_progress::refused);
        m_highest = std::max(m_highest, order.m_epoch);
        m_executed.push_back(order.m_epoch);
        return absl::OkStatus();
    }

    /// Whether an order with a lower epoch ran after one with a higher epoch.
    bool fencing_broken() const { return !std::is_sorted(m_executed.begin(), m_executed.end()); }

    bool m_checks_epochs{true};
    std::uint64_t m_highest{0};
    std::vector<std::uint64_t> m_executed;
};

struct fake_platform
{
    absl::StatusOr<platform_object> read() const
    {
        if (m_down)
            return make_failure(failure_kind::platform_unavailable, "down");
        if (m_epoch == 0)
            return platform_object{};
        return platform_object{encode_lease({"holder", m_epoch, lease_duration_ms}), m_epoch};
    }

    bool m_down{false};
    std::uint64_t m_epoch{0};
};

/// Baseline without a gate: forwards each order and leaves the epoch check to the engine.
absl::Status submit_to_engine_only(fake_engine& engine, const engine_order& order)
{
    return engine.execute(order);
}

/// Gate whose actions are performed immediately.
struct gate_fixture
{
    absl::Status submit(std::uint64_t epoch)
    {
        const std::uint64_t ticket = ++m_ticket;
        carry_out(m_gate->submit(ticket, {epoch, "load", "{}"}, m_now));
        return m_answers.at(ticket);
    }

    void carry_out(const order_gate::actions& todo)
    {
        for (const auto& action : todo)
        {
            if (const auto* read = std::get_if<read_order_lease>(&action))
                carry_out(m_gate->on_lease_read(read->m_ticket, m_platform.read(), m_now));
            else if (const auto* send = std::get_if<send_order>(&action))
                carry_out(m_gate->on_engine_answer(
                    send->m_ticket, m_engine.execute(send->m_order), m_now));
            else if (const auto* answer = std::get_if<answer_order>(&action))
                m_answers[answer->m_ticket] = answer->m_result;
        }
    }

    void restart() { m_gate.emplace(1000ms, 4); }

    fake_engine m_engine;
    fake_platform m_platform;
    std::optional<order_gate> m_gate{std::in_place, 1000ms, 4};
    order_gate::time_point m_now{1h};
    std::uint64_t m_ticket{0};
    std::map<std::uint64_t, absl::Status> m_answers;
};

bool refused_as(const absl::Status& status, failure_kind kind)
{
    return !status.ok() && kind_of(status) == kind && outcome_of(status) == outcome::not_run;
}

} // namespace

TEST_SUITE_BEGIN("unit");

// Guards against executing an order of a previous holder that was paused past its lease's expiry.
TEST_CASE("a previous lease holder submits an order after a takeover")
{
    gate_fixture gate;
    gate.m_engine.m_checks_epochs = false;
    gate.m_platform.m_epoch = 1;

    GIVEN("no gate and an engine that ignores epochs")
    {
        REQUIRE(submit_to_engine_only(gate.m_engine, {2, "load", "{}"}).ok());
        CHECK(submit_to_engine_only(gate.m_engine, {1, "load", "{}"}).ok());
        CHECK(gate.m_engine.fencing_broken());
    }
    GIVEN("no gate and an engine that compares epochs but has not seen the new one")
    {
        gate.m_engine.m_checks_epochs = true;
        gate.m_platform.m_epoch = 2;
        // Epoch 2 has been granted, so this order must not run, but the engine cannot detect that.
        CHECK(submit_to_engine_only(gate.m_engine, {1, "load", "{}"}).ok());
    }
    GIVEN("a gate that reads the lease")
    {
        REQUIRE(gate.submit(1).ok());
        gate.m_platform.m_epoch = 2;
        SUBCASE("the new holder has not sent an order yet")
        {
            CHECK(refused_as(gate.submit(1), failure_kind::stale_epoch));
            CHECK(gate.m_engine.m_executed == std::vector<std::uint64_t>{1});
        }
        SUBCASE("the new holder's order came first")
        {
            REQUIRE(gate.submit(2).ok());
            CHECK(refused_as(gate.submit(1), failure_kind::stale_epoch));
            CHECK_FALSE(gate.m_engine.fencing_broken());
        }
        SUBCASE("the gate was restarted and lost its state")
        {
            REQUIRE(gate.submit(2).ok());
            gate.restart();
            CHECK(refused_as(gate.submit(1), failure_kind::stale_epoch));
            CHECK(gate.submit(2).ok());
        }
        SUBCASE("the platform is down")
        {
            REQUIRE(gate.submit(2).ok());
            gate.m_platform.m_down = true;
            CHECK_FALSE(gate.submit(1).ok());
            CHECK(gate.submit(2).ok());
            CHECK_FALSE(gate.m_engine.fencing_broken());
        }
    }
}

// Guards against accepting a confirmed epoch after its lease may have expired.
TEST_CASE("the platform is unreachable")
{
    gate_fixture gate;
    gate.m_platform.m_epoch = 3;

    SUBCASE("a recently confirmed epoch is accepted for the duration less the margin")
    {
        REQUIRE(gate.submit(3).ok());
        gate.m_platform.m_down = true;
        gate.m_now += 8999ms;
        CHECK(gate.submit(3).ok());
        gate.m_now += 1ms;
        CHECK(refused_as(gate.submit(3), failure_kind::platform_unavailable));
        gate.m_platform.m_down = false;
        CHECK(gate.submit(3).ok());
    }
    SUBCASE("an acceptance without a read does not extend the confirmation")
    {
        REQUIRE(gate.submit(3).ok());
        gate.m_platform.m_down = true;
        gate.m_now += 8000ms;
        REQUIRE(gate.submit(3).ok());
        gate.m_now += 8000ms;
        CHECK(refused_as(gate.submit(3), failure_kind::platform_unavailable));
    }
    SUBCASE("a restarted gate accepts no epoch without a read")
    {
        REQUIRE(gate.submit(3).ok());
        gate.restart();
        gate.m_platform.m_down = true;
        CHECK(refused_as(gate.submit(3), failure_kind::platform_unavailable));
    }
    SUBCASE("an unconfirmed higher epoch is refused and invalidates the lower confirmed one")
    {
        REQUIRE(gate.submit(3).ok());
        gate.m_platform.m_down = true;
        CHECK(refused_as(gate.submit(4), failure_kind::platform_unavailable));
        CHECK(refused_as(gate.submit(3), failure_kind::platform_unavailable));
    }
}

// Guards against accepting an epoch that was never granted.
TEST_CASE("an epoch other than that of the lease object is refused")
{
    gate_fixture gate;
    CHECK(refused_as(gate.submit(1), failure_kind::stale_epoch));
    gate.m_platform.m_epoch = 1;
    CHECK(refused_as(gate.submit(0), failure_kind::stale_epoch));
    CHECK(refused_as(gate.submit(2), failure_kind::stale_epoch));
    CHECK(gate.submit(1).ok());
}

// Guards against an order that runs between the check and the execution of another one.
TEST_CASE("concurrent orders are checked and executed one at a time")
{
    order_gate gate(1000ms, 1);
    const order_gate::time_point now{1h};
    const auto object = [](std::uint64_t epoch) {
        return platform_object{encode_lease({"holder", epoch, lease_duration_ms}), epoch};
    };

    CHECK(gate.submit(1, {1, "load", "{}"}, now) == order_gate::actions{read_order_lease{1}});
    CHECK(gate.submit(2, {2, "load", "{}"}, now).empty());

    SUBCASE("the takeover happens after the first order was checked")
    {
        CHECK(
            gate.on_lease_read(1, object(1), now) ==
            order_gate::actions{send_order{1, {1, "load", "{}"}}});
        // The second order is checked only after the engine has answered the first.
        CHECK(
            gate.on_engine_answer(1, absl::OkStatus(), now) ==
            order_gate::actions{answer_order{1, absl::OkStatus()}, read_order_lease{2}});
        CHECK(
            gate.on_lease_read(2, object(2), now) ==
            order_gate::actions{send_order{2, {2, "load", "{}"}}});
    }
    SUBCASE("the takeover happens before the first order was checked")
    {
        const auto todo = gate.on_lease_read(1, object(2), now);
        REQUIRE(todo.size() == 2);
        CHECK(refused_as(std::get<answer_order>(todo[0]).m_result, failure_kind::stale_epoch));
        CHECK(todo[1] == gate_action(read_order_lease{2}));
    }
    SUBCASE("the queue is bounded")
    {
        const auto todo = gate.submit(3, {2, "load", "{}"}, now);
        REQUIRE(todo.size() == 1);
        CHECK(refused_as(std::get<answer_order>(todo[0]).m_result, failure_kind::overloaded));
    }
    SUBCASE("a lost engine connection yields an unknown outcome and starts the next order")
    {
        gate.on_lease_read(1, object(1), now);
        const auto lost =
            make_failure(failure_kind::endpoint_lost, "lost", dispatch_progress::sent);
        const auto todo = gate.on_engine_answer(1, lost, now);
        REQUIRE(todo.size() == 2);
        CHECK(outcome_of(std::get<answer_order>(todo[0]).m_result) == outcome::unknown);
        CHECK(todo[1] == gate_action(read_order_lease{2}));
    }
    SUBCASE("the gate was paused past the lease's expiry during the read")
    {
        const auto todo = gate.on_lease_read(1, object(1), now + 20s);
        CHECK(refused_as(
            std::get<answer_order>(todo.at(0)).m_result, failure_kind::platform_unavailable));
    }
}

// Guards against sequences of takeovers, platform outages, gate restarts and orders that execute a
// lower epoch after a higher one. Restarts occur both while the platform is up and while it is
// down.
TEST_CASE("random event sequences never execute a lower epoch after a higher one")
{
    rc::detail::TestParams parameters;
    parameters.seed = 20261204;
    parameters.maxSuccess = 1000;
    const auto verdict = rc::detail::checkTestable(
        [](const std::vector<std::uint8_t>& events)
        {
            gate_fixture gate;
            gate.m_engine.m_checks_epochs = false;
            gate.m_platform.m_epoch = 1;
            for (const std::uint8_t event : events)
            {
                switch (event % 6)
                {
                case 0:
                    ++gate.m_platform.m_epoch;
                    break;
                case 1:
                    gate.m_platform.m_down = !gate.m_platform.m_down;
                    break;
                case 2:
                    gate.restart();
                    break;
                case 3:
                    gate.m_now += std::chrono::milliseconds(event * 50);
                    break;
                default:
                    const std::uint64_t epoch_lag = event / 6 % 3;
                    const std::uint64_t epoch = gate.m_platform.m_epoch;
                    const auto result = gate.submit(epoch > epoch_lag ? epoch - epoch_lag : epoch);
                    if (epoch_lag > 0 && epoch > epoch_lag && !gate.m_platform.m_down)
                        RC_ASSERT(!result.ok());
                }
            }
            RC_ASSERT(!gate.m_engine.fencing_broken());
        },
        rc::detail::TestMetadata(), parameters);
    rc::detail::SuccessResult success;
    const bool passed = verdict.match(success);
    if (!passed)
        rc::detail::printResultMessage(verdict, std::cerr);
    CHECK(passed);
}

TEST_SUITE_END();
