#include "ledger_partition.hpp"

#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/failure.hpp>

#include <absl/container/flat_hash_map.h>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace
{

constexpr std::chrono::milliseconds retry_delay{100};
constexpr std::chrono::seconds idle_unload_delay{60};

/// A change of one record, to be included in the next write.
struct record_change
{
    std::optional<ledger_record> m_record; ///< Empty to remove the record.
    std::string m_attempt;                 ///< The attempt that wrote the intent.
    std::uint64_t m_ticket{0};             ///< The call, which may have ended; 0 for none.
};

using record_changes = std::map<std::string, record_change, std::less<>>;

enum class call_phase : std::uint8_t
{
    waiting,  ///< Until the partition is read and the intent is written.
    running,  ///< Sent to the worker, or about to be sent.
    releasing ///< Not run, although its intent is durable; the intent is being removed.
};

/// A caller that waits for the answer of a call.
struct call_recipient
{
    std::string m_reply_address;
    std::uint64_t m_call{0};
    call_ledger::time_point m_deadline;
};

struct ledger_call
{
    service_call m_call;
    std::uint32_t m_partition{0};
    std::string m_key;
    std::string m_body_hash;
    std::string m_attempt;
    call_phase m_phase{call_phase::waiting};
    bool m_read_since_arrival{false}; ///< The partition was read after the call arrived.
    bool m_intent_sent{false};        ///< A write that contains the intent was sent.
    std::vector<call_recipient> m_recipients;
    service_result m_result; ///< Set in phase `releasing`; sent once the intent is removed.
};

struct ledger_partition
{
    bool m_loaded{false};
    bool m_reading{false};
    bool m_writing{false};
    bool m_write_uncertain{false}; ///< `m_in_flight` may have been written or not.
    bool m_force_write{false};     ///< Write even without changes, to make older writes conflict.
    std::uint64_t m_version{0};
    ledger_records m_records;   ///< As last read or written, including a write in flight.
    record_changes m_pending;   ///< For the next write.
    record_changes m_in_flight; ///< In the current write, or in one with an uncertain result.
    /// Attempts, by key, whose intent was sent to the platform but whose callers have since
    /// received the outcome `not_run`. A write with an unknown result may still store such an
    /// intent.
    std::map<std::string, std::string> m_abandoned_intents;
    /// Calls to process once the partition is loaded.
    std::vector<std::uint64_t> m_waiting_tickets;
    call_ledger::time_point m_retry_at;
    call_ledger::time_point m_last_use;
};

service_result failed_result(failure_kind kind, outcome call_outcome)
{
    service_result result;
    result.m_failure = kind;
    result.m_outcome = call_outcome;
    return result;
}

std::int64_t unix_seconds(call_ledger::wall_time wall)
{
    return std::chrono::duration_cast<std::chrono::seconds>(wall.time_since_epoch()).count();
}

} // namespace

struct call_ledger::state
{
    explicit state(call_ledger_settings settings) : m_settings(std::move(settings)) {}

    void begin(const service_call& call, time_point now);
    void advance(std::uint32_t partition_id, time_point now, wall_time wall);
    void look_up_key(std::uint64_t ticket, wall_time wall);
    void handle_existing_record(
        std::uint64_t ticket, ledger_call& call, const ledger_record& record, wall_time wall);
    void start_write(std::uint32_t partition_id, time_point now, wall_time wall);
    void load_snapshot(std::uint32_t partition_id, ledger_records records, std::uint64_t version);
    void requeue_uncertain_write(std::uint32_t partition_id);
    void on_write_succeeded(std::uint32_t partition_id, std::uint64_t version);
    void dispatch(std::uint64_t ticket);
    void finish_call(std::uint64_t ticket, const service_result& result);
    void answer_recipients(ledger_call& call, const service_result& result);
    void expire_recipients(std::uint64_t ticket, time_point now);
    void drop_superseded_changes(ledger_partition& partition);
    void remove_abandoned_intents(ledger_partition& partition);
    void refuse_waiting_intents(ledger_partition& partition);
    ledger_call* find(std::uint64_t ticket);
    actions take_actions() { return std::exchange(m_actions, {}); }

    call_ledger_settings m_settings;
    bool m_draining{false};
    std::uint64_t m_next_ticket{1};
    std::map<std::uint64_t, ledger_call> m_calls;
    absl::flat_hash_map<std::string, std::uint64_t> m_ticket_by_key;
    std::map<std::uint32_t, ledger_partition> m_partitions;
    actions m_actions;
    std::uint64_t m_reads{0};
    std::uint64_t m_writes{0};
};

ledger_call* call_ledger::state::find(std::uint64_t ticket)
{
    const auto found = m_calls.find(ticket);
    return found == m_calls.end() ? nullptr : &found->second;
}

void call_ledger::state::answer_recipients(ledger_call& call, const service_result& result)
{
    for (auto& recipient : call.m_recipients)
    {
        service_result copy = result;
        copy.m_call = recipient.m_call;
        m_actions.emplace_back(answer_call{std::move(recipient.m_reply_address), std::move(copy)});
    }
    call.m_recipients.clear();
}

void call_ledger::state::finish_call(std::uint64_t ticket, const service_result& result)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end())
        return;
    answer_recipients(found->second, result);
    m_ticket_by_key.erase(found->second.m_key);
    m_calls.erase(found);
}

void call_ledger::state::begin(const service_call& call, time_point now)
{
    const call_recipient recipient{
        call.m_reply_address, call.m_call, now + std::chrono::milliseconds(call.m_deadline_ms)};
    const auto refuse = [&](failure_kind kind, outcome call_outcome)
    {
        service_result result = failed_result(kind, call_outcome);
        result.m_call = call.m_call;
        m_actions.emplace_back(answer_call{call.m_reply_address, std::move(result)});
    };
    if (call.m_key.empty())
        return refuse(failure_kind::invalid_request, outcome::not_run);
    const std::string key = hash_parts({call.m_account, call.m_service, call.m_key});
    const std::string body_hash = hash_parts({call.m_method, call.m_path, call.m_body});

    if (const auto active = m_ticket_by_key.find(key); active != m_ticket_by_key.end())
    {
        // The key is in progress in this process: both callers get the same answer.
        ledger_call& first = m_calls.at(active->second);
        if (first.m_body_hash != body_hash)
            return refuse(failure_kind::key_reused, outcome::not_run);
        first.m_recipients.push_back(recipient);
        return;
    }
    if (m_draining)
        return refuse(failure_kind::draining, outcome::not_run);
    if (m_calls.size() >= m_settings.m_max_active_calls)
        return refuse(failure_kind::overloaded, outcome::not_run);

    const std::uint64_t ticket = m_next_ticket++;
    ledger_call entry;
    entry.m_call = call;
    entry.m_partition =
        partition_of(call.m_account, call.m_service, call.m_key, m_settings.m_partitions);
    entry.m_key = key;
    entry.m_body_hash = body_hash;
    entry.m_attempt = fmt::format("{}/{}", m_settings.m_process, ticket);
    entry.m_recipients.push_back(recipient);
    auto& partition = m_partitions[entry.m_partition];
    partition.m_waiting_tickets.push_back(ticket);
    partition.m_last_use = now;
    m_ticket_by_key[key] = ticket;
    m_calls.emplace(ticket, std::move(entry));
}

void call_ledger::state::dispatch(std::uint64_t ticket)
{
    ledger_call* call = find(ticket);
    call->m_phase = call_phase::running;
    m_actions.emplace_back(run_call{ticket, call->m_call});
}

void call_ledger::state::handle_existing_record(
    std::uint64_t ticket, ledger_call& call, const ledger_record& record, wall_time wall)
{
    if (record.m_attempt == call.m_attempt)
        return dispatch(ticket); // Its intent was stored although the result of the write was lost.
    if (record.m_body_hash != call.m_body_hash)
        return finish_call(ticket, failed_result(failure_kind::key_reused, outcome::not_run));
    if (record.m_status != 0)
    {
        service_result result;
        result.m_ok = true;
        result.m_status = record.m_status;
        result.m_content_type = record.m_content_type;
        result.m_body = record.m_body;
        return finish_call(ticket, result);
    }
    auto& partition = m_partitions[call.m_partition];
    if (!call.m_read_since_arrival)
    {
        // Another process may have written the outcome after this copy was read.
        partition.m_loaded = false;
        partition.m_waiting_tickets.push_back(ticket);
        return;
    }
    // This process has at most one call in progress per key, so another intent of this process
    // belongs to a call that has ended.
    const bool ended_here = record.m_attempt.starts_with(m_settings.m_process + "/");
    const bool may_be_running = !ended_here && unix_seconds(wall) <= record.m_deadline_s;
    finish_call(
        ticket, failed_result(
                    may_be_running ? failure_kind::key_in_progress : failure_kind::outcome_unknown,
                    outcome::unknown));
}

void call_ledger::state::look_up_key(std::uint64_t ticket, wall_time wall)
{
    ledger_call* call = find(ticket);
    if (!call || call->m_phase != call_phase::waiting)
        return;
    auto& partition = m_partitions[call->m_partition];
    const auto pending = partition.m_pending.find(call->m_key);
    const bool being_removed =
        pending != partition.m_pending.end() && !pending->second.m_record.has_value();
    const auto record = partition.m_records.find(call->m_key);
    if (record != partition.m_records.end() && !being_removed)
        return handle_existing_record(ticket, *call, record->second, wall);

    ledger_record intent;
    intent.m_body_hash = call->m_body_hash;
    intent.m_attempt = call->m_attempt;
    intent.m_written_s = unix_seconds(wall);
    // The added second covers the rounding of both times.
    intent.m_deadline_s = intent.m_written_s + call->m_call.m_deadline_ms / 1000 + 1;
    partition.m_pending[call->m_key] = {std::move(intent), call->m_attempt, ticket};
}

void call_ledger::state::refuse_waiting_intents(ledger_partition& partition)
{
    std::vector<std::uint64_t> refused;
    std::erase_if(
        partition.m_pending,
        [&](const auto& item)
        {
            const ledger_call* call = find(item.second.m_ticket);
            if (!call || call->m_phase != call_phase::waiting)
                return false;
            refused.push_back(item.second.m_ticket);
            return true;
        });
    for (const auto ticket : refused)
        finish_call(ticket, failed_result(failure_kind::overloaded, outcome::not_run));
}

namespace
{

ledger_records apply_changes(ledger_records records, const record_changes& changes)
{
    for (const auto& [key, change] : changes)
    {
        if (change.m_record)
            records[key] = *change.m_record;
        else
            records.erase(key);
    }
    return records;
}

} // namespace

void call_ledger::state::start_write(std::uint32_t partition_id, time_point now, wall_time wall)
{
    auto& partition = m_partitions[partition_id];
    if (partition.m_pending.empty() && !partition.m_force_write)
        return;
    const std::int64_t oldest = unix_seconds(wall) - m_settings.m_retention.count();
    std::erase_if(
        partition.m_records, [&](const auto& item) { return item.second.m_written_s < oldest; });
    ledger_records records = apply_changes(partition.m_records, partition.m_pending);
    std::string value = encode_records(records);
    if (value.size() > m_settings.m_max_partition_bytes)
    {
        // The partition is full of records within their retention time. New keys are refused, but
        // outcomes are still written.
        refuse_waiting_intents(partition);
        if (partition.m_pending.empty() && !partition.m_force_write)
            return;
        records = apply_changes(partition.m_records, partition.m_pending);
        value = encode_records(records);
    }
    partition.m_in_flight = std::exchange(partition.m_pending, {});
    for (const auto& [key, change] : partition.m_in_flight)
    {
        ledger_call* call = find(change.m_ticket);
        if (call && call->m_phase == call_phase::waiting)
            call->m_intent_sent = true;
    }
    partition.m_force_write = false;
    partition.m_writing = true;
    partition.m_last_use = now;
    ++m_writes;
    m_actions.emplace_back(write_partition{partition_id, std::move(value), partition.m_version});
    partition.m_records = std::move(records);
}

void call_ledger::state::advance(std::uint32_t partition_id, time_point now, wall_time wall)
{
    auto& partition = m_partitions[partition_id];
    if (partition.m_reading || partition.m_writing || now < partition.m_retry_at)
        return;
    if (partition.m_loaded)
    {
        for (const auto ticket : std::exchange(partition.m_waiting_tickets, {}))
            look_up_key(ticket, wall);
    }
    if (partition.m_loaded)
        return start_write(partition_id, now, wall);
    if (partition.m_waiting_tickets.empty() && partition.m_pending.empty() &&
        !partition.m_write_uncertain && partition.m_abandoned_intents.empty())
        return;
    partition.m_reading = true;
    ++m_reads;
    m_actions.emplace_back(read_partition{partition_id});
}

void call_ledger::state::remove_abandoned_intents(ledger_partition& partition)
{
    for (const auto& [key, attempt] : partition.m_abandoned_intents)
    {
        const auto record = partition.m_records.find(key);
        if (record != partition.m_records.end() && record->second.m_attempt == attempt)
            partition.m_pending.try_emplace(key, record_change{std::nullopt, attempt, 0});
    }
    // A delayed write may still store an intent that is not there now. Another write first, even an
    // unchanged one, increments the version, so that the delayed write fails with a conflict.
    partition.m_force_write = partition.m_force_write || !partition.m_abandoned_intents.empty();
}

/// Drops outcomes and removals whose record is missing or belongs to another attempt. After a write
/// with an unknown result the intent may already be removed, and another process may have stored
/// its own under the same key.
void call_ledger::state::drop_superseded_changes(ledger_partition& partition)
{
    std::vector<std::uint64_t> superseded;
    std::erase_if(
        partition.m_pending,
        [&](const auto& item)
        {
            const auto record = partition.m_records.find(item.first);
            if (record != partition.m_records.end() &&
                record->second.m_attempt == item.second.m_attempt)
                return false;
            superseded.push_back(item.second.m_ticket);
            return true;
        });
    for (const auto ticket : superseded)
    {
        const ledger_call* call = find(ticket);
        if (call && call->m_phase == call_phase::releasing)
            finish_call(ticket, call->m_result);
    }
}

void call_ledger::state::requeue_uncertain_write(std::uint32_t partition_id)
{
    auto& partition = m_partitions[partition_id];
    for (auto& [key, change] : std::exchange(partition.m_in_flight, {}))
    {
        const ledger_call* call = find(change.m_ticket);
        const bool intent = change.m_record && change.m_record->m_status == 0;
        if (!intent)
            partition.m_pending.try_emplace(key, std::move(change));
        else if (call && call->m_phase == call_phase::waiting)
            // Runs after the lookup if its intent was stored.
            partition.m_waiting_tickets.push_back(change.m_ticket);
    }
    partition.m_write_uncertain = false;
}

void call_ledger::state::load_snapshot(
    std::uint32_t partition_id, ledger_records records, std::uint64_t version)
{
    auto& partition = m_partitions[partition_id];
    partition.m_records = std::move(records);
    partition.m_version = version;
    partition.m_loaded = true;
    // Keys with an unsent intent are looked up again: another process may have written them.
    std::erase_if(
        partition.m_pending,
        [&](const auto& item)
        {
            const ledger_call* call = find(item.second.m_ticket);
            if (!call || call->m_phase != call_phase::waiting)
                return false;
            partition.m_waiting_tickets.push_back(item.second.m_ticket);
            return true;
        });
    if (partition.m_write_uncertain)
        requeue_uncertain_write(partition_id);
    drop_superseded_changes(partition);
    remove_abandoned_intents(partition);
    for (const auto ticket : partition.m_waiting_tickets)
    {
        if (ledger_call* call = find(ticket))
            call->m_read_since_arrival = true;
    }
}

void call_ledger::state::on_write_succeeded(std::uint32_t partition_id, std::uint64_t version)
{
    auto& partition = m_partitions[partition_id];
    partition.m_version = version;
    for (const auto& [key, change] : std::exchange(partition.m_in_flight, {}))
    {
        const ledger_call* call = find(change.m_ticket);
        if (call && call->m_phase == call_phase::waiting)
            dispatch(change.m_ticket);
        else if (call && call->m_phase == call_phase::releasing)
            finish_call(change.m_ticket, call->m_result);
    }
    remove_abandoned_intents(partition);
    // Delayed writes expect an earlier version, so from now on they fail with a conflict.
    partition.m_abandoned_intents.clear();
    partition.m_force_write = false;
}

void call_ledger::state::expire_recipients(std::uint64_t ticket, time_point now)
{
    ledger_call& call = m_calls.at(ticket);
    // Each recipient has its own deadline; the call goes on while one is left.
    ledger_call expired;
    const auto split = std::stable_partition(
        call.m_recipients.begin(), call.m_recipients.end(),
        [&](const call_recipient& recipient) { return recipient.m_deadline > now; });
    expired.m_recipients.assign(
        std::make_move_iterator(split), std::make_move_iterator(call.m_recipients.end()));
    call.m_recipients.erase(split, call.m_recipients.end());
    if (expired.m_recipients.empty())
        return;
    switch (call.m_phase)
    {
    case call_phase::running:
        answer_recipients(expired, failed_result(failure_kind::outcome_unknown, outcome::unknown));
        return;
    case call_phase::releasing:
        answer_recipients(expired, call.m_result);
        return;
    case call_phase::waiting:
        break;
    }
    if (!call.m_recipients.empty())
    {
        // The call continues for another recipient, so it may still run.
        answer_recipients(expired, failed_result(failure_kind::key_in_progress, outcome::unknown));
        return;
    }
    // The call is removed before `not_run` is reported, so that it cannot run if its write turns
    // out to have succeeded.
    auto& partition = m_partitions[call.m_partition];
    const auto pending = partition.m_pending.find(call.m_key);
    if (pending != partition.m_pending.end() && pending->second.m_ticket == ticket)
        partition.m_pending.erase(pending);
    if (call.m_intent_sent)
        partition.m_abandoned_intents[call.m_key] = call.m_attempt;
    m_ticket_by_key.erase(call.m_key);
    m_calls.erase(ticket);
    answer_recipients(expired, failed_result(failure_kind::platform_unavailable, outcome::not_run));
}

call_ledger::call_ledger(call_ledger_settings settings)
    : m_state(std::make_unique<state>(std::move(settings)))
{
}

call_ledger::~call_ledger() = default;

call_ledger::actions call_ledger::begin(const service_call& call, time_point now, wall_time wall)
{
    m_state->begin(call, now);
    const std::uint32_t partition_id =
        partition_of(call.m_account, call.m_service, call.m_key, m_state->m_settings.m_partitions);
    m_state->advance(partition_id, now, wall);
    return m_state->take_actions();
}

call_ledger::actions call_ledger::on_read(
    std::uint32_t partition_id, const absl::StatusOr<platform_object>& result, time_point now,
    wall_time wall)
{
    auto& partition = m_state->m_partitions[partition_id];
    partition.m_reading = false;
    // A version older than the known one is a stale read.
    const bool usable = result.ok() && result->m_version >= partition.m_version;
    auto records = usable ? decode_records(result->m_value)
                          : absl::StatusOr<ledger_records>(make_failure(
                                failure_kind::platform_unavailable,
                                "read of a ledger partition failed or was stale"));
    if (records.ok())
        m_state->load_snapshot(partition_id, *std::move(records), result->m_version);
    else
        partition.m_retry_at = now + retry_delay;
    m_state->advance(partition_id, now, wall);
    return m_state->take_actions();
}

call_ledger::actions call_ledger::on_written(
    std::uint32_t partition_id, const absl::StatusOr<std::uint64_t>& result, time_point now,
    wall_time wall)
{
    auto& partition = m_state->m_partitions[partition_id];
    partition.m_writing = false;
    if (result.ok())
        m_state->on_write_succeeded(partition_id, *result);
    else
    {
        // After a conflict or a lost response only a read shows what is stored. A write that was
        // definitely not applied is handled the same way, at the cost of one read in an outage.
        partition.m_write_uncertain = true;
        partition.m_loaded = false;
        if (kind_of(result.status()) != failure_kind::conflict)
            partition.m_retry_at = now + retry_delay;
    }
    m_state->advance(partition_id, now, wall);
    return m_state->take_actions();
}

call_ledger::actions call_ledger::on_call_ended(
    std::uint64_t ticket, const service_result& result, time_point now, wall_time wall)
{
    ledger_call* call = m_state->find(ticket);
    if (!call || call->m_phase != call_phase::running)
        return {};
    const std::uint32_t partition_id = call->m_partition;
    auto& partition = m_state->m_partitions[partition_id];
    if (!result.m_ok && result.m_outcome == outcome::not_run)
    {
        call->m_phase = call_phase::releasing;
        call->m_result = result;
        partition.m_pending[call->m_key] = {std::nullopt, call->m_attempt, ticket};
    }
    else if (!result.m_ok)
        m_state->finish_call(ticket, result); // The intent stays, so the call is not run again.
    else
    {
        ledger_record record;
        record.m_body_hash = call->m_body_hash;
        record.m_attempt = call->m_attempt;
        record.m_written_s = unix_seconds(wall);
        record.m_status = result.m_status;
        record.m_content_type = result.m_content_type;
        if (result.m_body.size() <= m_state->m_settings.m_max_stored_body_bytes)
            record.m_body = result.m_body;
        partition.m_pending[call->m_key] = {std::move(record), call->m_attempt, 0};
        m_state->finish_call(ticket, result);
    }
    m_state->advance(partition_id, now, wall);
    return m_state->take_actions();
}

call_ledger::actions call_ledger::on_tick(time_point now, wall_time wall)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [ticket, call] : m_state->m_calls)
        tickets.push_back(ticket);
    for (const auto ticket : tickets)
        m_state->expire_recipients(ticket, now);
    for (auto& [partition_id, partition] : m_state->m_partitions)
        m_state->advance(partition_id, now, wall);
    std::erase_if(
        m_state->m_partitions,
        [&](const auto& item)
        {
            const auto& partition = item.second;
            return now - partition.m_last_use > idle_unload_delay && partition.m_pending.empty() &&
                   partition.m_in_flight.empty() && partition.m_waiting_tickets.empty() &&
                   partition.m_abandoned_intents.empty() && !partition.m_reading &&
                   !partition.m_writing && !partition.m_force_write;
        });
    return m_state->take_actions();
}

void call_ledger::begin_drain()
{
    m_state->m_draining = true;
}

std::size_t call_ledger::pending() const
{
    std::size_t count = m_state->m_calls.size();
    for (const auto& [partition_id, partition] : m_state->m_partitions)
        count += partition.m_pending.size() + partition.m_in_flight.size();
    return count;
}

std::string call_ledger::dump(std::size_t max_keys) const
{
    boost::json::array partitions;
    for (const auto& [partition_id, partition] : m_state->m_partitions)
    {
        partitions.push_back(boost::json::object{
            {"partition", partition_id},
            {"version", partition.m_version},
            {"records", partition.m_records.size()},
            {"pending", partition.m_pending.size()},
            {"in_flight", partition.m_in_flight.size()},
            {"undecided", partition.m_write_uncertain}});
    }
    boost::json::array calls;
    for (const auto& [ticket, call] : m_state->m_calls)
    {
        if (calls.size() >= max_keys)
            break;
        calls.push_back(boost::json::object{
            {"ticket", ticket},
            {"key_hash", call.m_key},
            {"phase", static_cast<int>(call.m_phase)},
            {"recipients", call.m_recipients.size()}});
    }
    return boost::json::serialize(boost::json::object{
        {"calls", std::move(calls)},
        {"call_count", m_state->m_calls.size()},
        {"partitions", std::move(partitions)},
        {"platform_reads", m_state->m_reads},
        {"platform_writes", m_state->m_writes}});
}

std::string partition_object_name(std::uint32_t partition)
{
    return fmt::format("ledger/{}", partition);
}

std::uint32_t partition_of(
    std::string_view account, std::string_view service, std::string_view key,
    std::uint32_t partitions)
{
    const std::string hash = hash_parts({account, service, key});
    std::uint32_t partition_id = 0;
    std::from_chars(hash.data(), hash.data() + 8, partition_id, 16);
    return partition_id % partitions;
}

} // namespace fulmaryard
