#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/failure.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace fulmaryard;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("at_most_once");

namespace
{

service_call make_call(std::uint64_t id, const std::string& key, const std::string& body = "{}")
{
    service_call call;
    call.m_call = id;
    call.m_reply_address = "127.0.0.1:1";
    call.m_account = "account";
    call.m_service = "orders";
    call.m_key = key;
    call.m_method = "POST";
    call.m_path = "/orders";
    call.m_body = body;
    call.m_idempotent = false;
    call.m_deadline_ms = 1000;
    return call;
}

service_result created_result()
{
    service_result result;
    result.m_ok = true;
    result.m_status = 201;
    result.m_body = "order 1";
    return result;
}

service_result failed_result(failure_kind kind, outcome call_outcome)
{
    service_result result;
    result.m_failure = kind;
    result.m_outcome = call_outcome;
    return result;
}

template <typename Action>
const Action* find_action(const call_ledger::actions& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

/// Baseline without a ledger: runs each call immediately and stores no record.
class ledgerless_baseline
{
public:
    call_ledger::actions begin(const service_call& call)
    {
        m_calls[++m_ticket] = call;
        return {run_call{m_ticket, call}};
    }

    call_ledger::actions on_call_ended(std::uint64_t ticket, const service_result& result)
    {
        service_result copy = result;
        copy.m_call = m_calls[ticket].m_call;
        return {answer_call{m_calls[ticket].m_reply_address, copy}};
    }

private:
    std::uint64_t m_ticket{0};
    std::map<std::uint64_t, service_call> m_calls;
};

/// Simulates three processes with a ledger each, an object store and a worker. Each step takes two
/// numbers that select the next event or fault.
class call_simulation
{
public:
    explicit call_simulation(bool use_ledger) : m_use_ledger(use_ledger)
    {
        for (int i = 0; i < process_count; ++i)
            restart(i);
    }

    void step(std::uint8_t choice, std::uint8_t detail)
    {
        m_now += std::chrono::milliseconds(detail % 16);
        switch (choice % 8)
        {
        case 0:
        case 1:
            begin(detail % process_count, "key" + std::to_string(detail / 8 % 3));
            break;
        case 2:
            if (detail % 16 == 0)
                restart(detail / 16 % process_count);
            else
                tick(detail % process_count, std::chrono::milliseconds(10 * detail));
            break;
        case 3:
            apply_delayed_write(detail);
            break;
        default:
            complete(detail, choice / 8);
            break;
        }
    }

    /// Completes all outstanding operations without further faults.
    void finish_outstanding()
    {
        for (int round = 0; round < 200; ++round)
        {
            while (!m_outstanding.empty())
                complete(0, 0);
            for (int i = 0; i < process_count; ++i)
                tick(i, 50ms);
        }
    }

    bool ran_twice() const
    {
        for (const auto& [key, runs] : m_runs_by_key)
        {
            if (runs > 1)
                return true;
        }
        return false;
    }

    bool ran_after_not_run_answer() const
    {
        for (const auto id : m_answered_not_run)
        {
            if (m_executed_calls.contains(id))
                return true;
        }
        return false;
    }

    bool all_answered_once() const
    {
        for (const auto& [id, answers] : m_answers)
        {
            if (answers > 1)
                return false;
        }
        return true;
    }

    bool idle() const
    {
        for (const auto& process : m_processes)
        {
            if (process.m_ledger->pending() != 0)
                return false;
        }
        return true;
    }

private:
    static constexpr int process_count = 3;

    struct simulated_process
    {
        std::unique_ptr<call_ledger> m_ledger;
        ledgerless_baseline m_baseline;
        std::uint64_t m_run_id{0};
    };

    struct operation
    {
        int m_process;
        std::uint64_t m_run_id;
        ledger_action m_action;
    };

    void restart(int index)
    {
        auto& process = m_processes[index];
        process.m_run_id = ++m_next_run_id;
        call_ledger_settings settings;
        settings.m_process = "side-" + std::to_string(process.m_run_id);
        settings.m_partitions = 2;
        process.m_ledger = std::make_unique<call_ledger>(settings);
        process.m_baseline = {};
    }

    void begin(int index, const std::string& key)
    {
        const auto call = make_call(++m_next_call, key);
        m_key_by_call[call.m_call] = key;
        auto& process = m_processes[index];
        carry_out(
            index, m_use_ledger ? process.m_ledger->begin(call, m_now, m_wall)
                                : process.m_baseline.begin(call));
    }

    void tick(int index, std::chrono::milliseconds time)
    {
        m_now += time;
        carry_out(index, m_processes[index].m_ledger->on_tick(m_now, m_wall));
    }

    void carry_out(int index, call_ledger::actions actions)
    {
        for (auto& action : actions)
        {
            if (const auto* answer = std::get_if<answer_call>(&action))
                record_answer(answer->m_result);
            else
                m_outstanding.push_back({index, m_processes[index].m_run_id, std::move(action)});
        }
    }

    void record_answer(const service_result& result)
    {
        ++m_answers[result.m_call];
        if (!result.m_ok && result.m_outcome == outcome::not_run)
            m_answered_not_run.insert(result.m_call);
    }

    /// Completes one outstanding operation; `fault` selects one of the faults of its type, or none.
    void complete(std::uint8_t selector, int fault)
    {
        if (m_outstanding.empty())
            return;
        const auto position =
            m_outstanding.begin() + static_cast<std::ptrdiff_t>(selector % m_outstanding.size());
        const operation done = *position;
        m_outstanding.erase(position);
        std::visit([&](const auto& action) { this->complete(done, action, fault); }, done.m_action);
    }

    /// False if the process has been restarted since; the result is then discarded.
    bool is_current_run(const operation& done) const
    {
        return m_processes[done.m_process].m_run_id == done.m_run_id;
    }

    void complete(const operation& done, const read_partition& read, int fault)
    {
        absl::StatusOr<platform_object> result = m_store[read.m_partition];
        if (fault % 8 == 1)
            result = make_failure(failure_kind::platform_unavailable, "outage");
        if (fault % 8 == 2)
            result = m_previous_objects[read.m_partition];
        if (is_current_run(done))
            carry_out(
                done.m_process, m_processes[done.m_process].m_ledger->on_read(
                                    read.m_partition, result, m_now, m_wall));
    }

    absl::StatusOr<std::uint64_t> write(const write_partition& request)
    {
        auto& object = m_store[request.m_partition];
        if (object.m_version != request.m_version)
            return make_failure(failure_kind::conflict, "version");
        m_previous_objects[request.m_partition] = object;
        object = {request.m_value, object.m_version + 1};
        return object.m_version;
    }

    void complete(const operation& done, const write_partition& request, int fault)
    {
        absl::StatusOr<std::uint64_t> result =
            make_failure(failure_kind::platform_unavailable, "refused");
        if (fault % 8 == 2)
        {
            m_delayed_writes.push_back(request);
            result = make_failure(
                failure_kind::platform_unavailable, "timeout", dispatch_progress::sent);
        }
        else if (fault % 8 != 1)
            result = write(request);
        if (fault % 8 == 3 && result.ok())
            result = make_failure(
                failure_kind::platform_unavailable, "response lost", dispatch_progress::sent);
        if (is_current_run(done))
            carry_out(
                done.m_process, m_processes[done.m_process].m_ledger->on_written(
                                    request.m_partition, result, m_now, m_wall));
    }

    void complete(const operation& done, const run_call& run, int fault)
    {
        if (!is_current_run(done) && fault % 2 == 0)
            return; // The process ended before it sent the call.
        service_result result = created_result();
        if (fault % 8 == 1)
            result = failed_result(failure_kind::endpoint_lost, outcome::not_run);
        else
        {
            ++m_runs_by_key[m_key_by_call[run.m_call.m_call]];
            m_executed_calls.insert(run.m_call.m_call);
        }
        if (fault % 8 == 2)
            result = failed_result(failure_kind::outcome_unknown, outcome::unknown);
        if (!is_current_run(done))
            return;
        auto& process = m_processes[done.m_process];
        carry_out(
            done.m_process,
            m_use_ledger ? process.m_ledger->on_call_ended(run.m_ticket, result, m_now, m_wall)
                         : process.m_baseline.on_call_ended(run.m_ticket, result));
    }

    void complete(const operation&, const answer_call&, int) {}

    void apply_delayed_write(std::uint8_t selector)
    {
        if (m_delayed_writes.empty())
            return;
        const auto position = m_delayed_writes.begin() +
                              static_cast<std::ptrdiff_t>(selector % m_delayed_writes.size());
        const auto request = *position;
        m_delayed_writes.erase(position);
        std::ignore = write(request);
    }

    bool m_use_ledger;
    call_ledger::time_point m_now{1h};
    call_ledger::wall_time m_wall{std::chrono::hours(24 * 365)};
    simulated_process m_processes[process_count];
    std::uint64_t m_next_run_id{0};
    std::uint64_t m_next_call{0};
    std::deque<operation> m_outstanding;
    std::deque<write_partition> m_delayed_writes;
    std::map<std::uint32_t, platform_object> m_store;
    std::map<std::uint32_t, platform_object> m_previous_objects;
    std::map<std::uint64_t, std::string> m_key_by_call;
    std::map<std::string, int> m_runs_by_key;
    std::map<std::uint64_t, int> m_answers;
    std::set<std::uint64_t> m_executed_calls;
    std::set<std::uint64_t> m_answered_not_run;
};

using schedule = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

} // namespace

TEST_CASE("a non-idempotent call runs at most once under random faults")
{
    const bool holds = rc::check(
        "three ledgers with lost responses, delayed writes, stale reads and restarts",
        [](const schedule& steps)
        {
            call_simulation simulation(true);
            for (const auto& [choice, detail] : steps)
                simulation.step(choice, detail);
            simulation.finish_outstanding();
            RC_ASSERT_FALSE(simulation.ran_twice());
            RC_ASSERT_FALSE(simulation.ran_after_not_run_answer());
            RC_ASSERT(simulation.all_answered_once());
            RC_ASSERT(simulation.idle());
        });
    CHECK(holds);
}

TEST_CASE("the simulation detects that a baseline without a ledger runs a call twice")
{
    std::uint32_t state = 1;
    const auto next = [&state]
    {
        state = state * 1664525 + 1013904223;
        return static_cast<std::uint8_t>(state >> 24);
    };
    call_simulation simulation(false);
    for (int i = 0; i < 200; ++i)
    {
        const std::uint8_t choice = next();
        simulation.step(choice, next());
    }
    simulation.finish_outstanding();
    CHECK(simulation.ran_twice());
}

TEST_CASE("a call ledger and its platform")
{
    call_ledger_settings settings;
    settings.m_process = "side-a";
    settings.m_partitions = 1;
    call_ledger ledger(settings);
    call_ledger::time_point now{1h};
    call_ledger::wall_time wall{std::chrono::hours(1000)};

    GIVEN("a first call whose partition has been read")
    {
        CHECK(find_action<read_partition>(ledger.begin(make_call(1, "k"), now, wall)));
        const auto after_read = ledger.on_read(0, platform_object{}, now, wall);
        const auto* write = find_action<write_partition>(after_read);
        REQUIRE(write);
        CHECK_FALSE(find_action<run_call>(after_read));

        WHEN("the intent is durable")
        {
            const auto actions = ledger.on_written(0, 1, now, wall);
            const auto* run = find_action<run_call>(actions);
            REQUIRE(run);

            AND_WHEN("the worker answers")
            {
                const auto ended = ledger.on_call_ended(run->m_ticket, created_result(), now, wall);
                THEN("the caller is answered and the outcome is written")
                {
                    CHECK(find_action<answer_call>(ended)->m_result.m_status == 201);
                    CHECK(find_action<write_partition>(ended));
                }
                AND_WHEN("the same key comes again")
                {
                    ledger.on_written(0, 2, now, wall);
                    THEN("the stored outcome answers it")
                    {
                        const auto again = ledger.begin(make_call(2, "k"), now, wall);
                        CHECK(find_action<answer_call>(again)->m_result.m_body == "order 1");
                        CHECK_FALSE(find_action<run_call>(again));
                    }
                    THEN("the key with another body is refused")
                    {
                        const auto other = ledger.begin(make_call(2, "k", "[]"), now, wall);
                        const auto& result = find_action<answer_call>(other)->m_result;
                        CHECK(result.m_failure == failure_kind::key_reused);
                        CHECK(result.m_outcome == outcome::not_run);
                    }
                }
            }
            AND_WHEN("the worker could not be reached")
            {
                const auto refused = failed_result(failure_kind::endpoint_lost, outcome::not_run);
                const auto ended = ledger.on_call_ended(run->m_ticket, refused, now, wall);
                THEN("the key is free again once the removal is durable")
                {
                    REQUIRE(find_action<write_partition>(ended));
                    const auto freed = ledger.on_written(0, 2, now, wall);
                    CHECK(find_action<answer_call>(freed)->m_result.m_outcome == outcome::not_run);
                    const auto again = ledger.begin(make_call(2, "k"), now, wall);
                    CHECK(find_action<write_partition>(again));
                }
            }
            AND_WHEN("the outcome stays unknown")
            {
                const auto unknown = failed_result(failure_kind::endpoint_lost, outcome::unknown);
                ledger.on_call_ended(run->m_ticket, unknown, now, wall);
                THEN("a repeated key is never run again, even much later")
                {
                    ledger.begin(make_call(2, "k"), now, wall);
                    const auto again =
                        ledger.on_read(0, platform_object{write->m_value, 1}, now, wall + 1h);
                    CHECK(
                        find_action<answer_call>(again)->m_result.m_failure ==
                        failure_kind::outcome_unknown);
                }
            }
        }

        WHEN("the platform is unavailable until after the deadline")
        {
            const auto outage = make_failure(
                failure_kind::platform_unavailable, "timeout", dispatch_progress::sent);
            ledger.on_written(0, outage, now, wall);
            const auto expired = ledger.on_tick(now + 2s, wall);
            THEN("the call is refused as not run")
            {
                const auto& result = find_action<answer_call>(expired)->m_result;
                CHECK(result.m_failure == failure_kind::platform_unavailable);
                CHECK(result.m_outcome == outcome::not_run);
            }
            THEN("an intent that turns out to be stored is removed and the call is not run")
            {
                const auto found =
                    ledger.on_read(0, platform_object{write->m_value, 1}, now + 2s, wall);
                CHECK_FALSE(find_action<run_call>(found));
                const auto* removal = find_action<write_partition>(found);
                REQUIRE(removal);
                CHECK(removal->m_value.find("side-a") == std::string::npos);
            }
        }

        WHEN("many calls arrive while the write is in flight")
        {
            for (std::uint64_t i = 2; i <= 100; ++i)
                CHECK(ledger.begin(make_call(i, "k" + std::to_string(i)), now, wall).empty());
            THEN("one more write carries all their intents")
            {
                const auto actions = ledger.on_written(0, 1, now, wall);
                const auto writes = std::count_if(
                    actions.begin(), actions.end(),
                    [](const ledger_action& action)
                    { return std::holds_alternative<write_partition>(action); });
                CHECK(writes == 1);
                CHECK(ledger.on_written(0, 2, now, wall).size() == 99);
            }
        }
    }

    GIVEN("a partition full of records that must be kept")
    {
        settings.m_max_partition_bytes = 400;
        call_ledger small(settings);
        small.begin(make_call(1, "a"), now, wall);
        small.on_read(0, platform_object{}, now, wall);
        small.on_written(0, 1, now, wall);
        THEN("a new key is refused as not run")
        {
            auto actions = small.begin(make_call(2, "b"), now, wall);
            actions = small.on_written(0, 2, now, wall);
            actions = small.begin(make_call(3, "c"), now, wall);
            const auto* answer = find_action<answer_call>(actions);
            REQUIRE(answer);
            CHECK(answer->m_result.m_failure == failure_kind::overloaded);
            CHECK(answer->m_result.m_outcome == outcome::not_run);
        }
    }

    GIVEN("a draining process")
    {
        ledger.begin_drain();
        const auto actions = ledger.begin(make_call(1, "k"), now, wall);
        CHECK(find_action<answer_call>(actions)->m_result.m_failure == failure_kind::draining);
    }
}

TEST_SUITE_END();
