#include "soak/soak_checks.hpp"

#include <absl/strings/str_split.h>

#include <fmt/format.h>

#include <algorithm>

namespace fulmaryard::soak
{

namespace
{

using std::chrono::milliseconds;

// Bounds from the user documentation: the time until a new configuration is in force, and the time
// after a disturbance from which a machine is subject to the checks again.
constexpr milliseconds configuration_bound{2'000};
constexpr milliseconds settle_time{3'000};

// Retry budget from the user documentation: a fraction of the requests, plus the slack that routers
// have by default.
constexpr double retry_ratio = 0.2;
constexpr int retry_slack = 40;

// Upper bound of the time from the end of a process to its record as downtime, on a busy machine.
constexpr milliseconds downtime_tolerance{50};

constexpr std::string_view revocable_key = "second";

using check_function = void (*)(const soak_record&, check_result&);

void report(check_result& result, std::string detail)
{
    result.m_violations.push_back({result.m_check, std::move(detail)});
}

int count_of(const std::map<std::string, int>& counts, const std::string& id)
{
    const auto found = counts.find(id);
    return found == counts.end() ? 0 : found->second;
}

/// Whether a fault of the router or of the store was active between `begin` and `end`, or ended
/// less than `settle_time` before `begin`.
bool disturbed(const soak_record& record, std::size_t router, milliseconds begin, milliseconds end)
{
    return std::any_of(
        record.m_injected_faults.begin(), record.m_injected_faults.end(),
        [&](const fault& one)
        {
            const bool concerns =
                touches_store(one.m_kind) || (touches_router(one.m_kind) && one.m_target == router);
            return concerns && one.m_at <= end && one.m_at + one.m_for + settle_time >= begin;
        });
}

/// Whether the router of the request was not listening when the request was sent. Downtime is
/// sampled every 10 ms.
bool down(const soak_record& record, const soak_request& request)
{
    return std::any_of(
        record.m_down.begin(), record.m_down.end(),
        [&](const router_downtime& one)
        {
            return one.m_router == request.m_router &&
                   one.m_from - downtime_tolerance <= request.m_sent && request.m_sent <= one.m_to;
        });
}

/// Events arrive in order from the first one, each belongs to the request, and a complete response
/// has all of them.
void check_streams(const soak_record& record, check_result& result)
{
    for (const auto& request : record.m_requests)
    {
        if (request.m_kind != soak_request::kind::stream || request.m_status != 200)
            continue;
        ++result.m_checked_count;
        std::uint64_t next = 1;
        for (const auto event : absl::StrSplit(request.m_body, "\n\n", absl::SkipEmpty()))
        {
            const auto expected = fmt::format("id: {}\ndata: {} {}", next, request.m_id, next);
            // The last event of a truncated response may be incomplete.
            const bool part = !request.m_complete &&
                              expected.starts_with(std::string_view(event.data(), event.size()));
            if (event != expected && !part)
            {
                report(
                    result, fmt::format(
                                "{}: event {} is \"{}\"", request.m_id, next,
                                std::string_view(event.data(), event.size())));
                break;
            }
            ++next;
        }
        if (request.m_complete && next != request.m_events + 1)
        {
            report(
                result, fmt::format(
                            "{}: complete after {} of {} events", request.m_id, next - 1,
                            request.m_events));
        }
    }
}

/// A successful response belongs to the request that it answers.
void check_right_caller(const soak_record& record, check_result& result)
{
    for (const auto& request : record.m_requests)
    {
        if (request.m_status != 200)
            continue;
        ++result.m_checked_count;
        const bool plain = request.m_kind != soak_request::kind::stream;
        if (request.m_response_attempt_id != request.m_id ||
            (plain && request.m_complete && request.m_body != "done " + request.m_id))
        {
            report(
                result, fmt::format(
                            "{}: answer to \"{}\", body \"{}\"", request.m_id,
                            request.m_response_attempt_id, request.m_body));
        }
    }
}

void check_at_most_once(const soak_record& record, check_result& result)
{
    for (const auto& request : record.m_requests)
    {
        if (request.m_kind != soak_request::kind::once)
            continue;
        ++result.m_checked_count;
        if (count_of(record.m_runs, request.m_id) > 1)
        {
            report(
                result,
                fmt::format(
                    "{}: ran {} times", request.m_id, count_of(record.m_runs, request.m_id)));
        }
    }
}

void check_not_run(const soak_record& record, check_result& result)
{
    for (const auto& request : record.m_requests)
    {
        if (request.m_status != 503 && request.m_status != 429 && request.m_status != 421 &&
            request.m_status != 408)
            continue;
        ++result.m_checked_count;
        if (count_of(record.m_runs, request.m_id) > 0)
            report(
                result, fmt::format("{}: status {}, but it ran", request.m_id, request.m_status));
    }
}

void check_paths(const soak_record& record, check_result& result)
{
    result.m_checked_count = record.m_arrivals.size();
    if (record.m_wrong_paths > 0)
        report(result, fmt::format("{} paths miss or repeat layers", record.m_wrong_paths));
}

void check_leaving(const soak_record& record, check_result& result)
{
    result.m_checked_count = record.m_arrivals.size();
    for (const auto at : record.m_late_arrivals)
    {
        const bool excused = std::any_of(
            record.m_injected_faults.begin(), record.m_injected_faults.end(),
            [&](const fault& one)
            {
                return (touches_store(one.m_kind) || touches_router(one.m_kind)) &&
                       one.m_at <= at && one.m_at + one.m_for + settle_time >= at - settle_time;
            });
        if (!excused)
            report(result, fmt::format("new work at a leaving endpoint at {} ms", at.count()));
    }
}

/// In runs with planned maintenance only, every request that a router read gets a complete
/// response.
void check_graceful(const soak_record& record, check_result& result)
{
    if (!record.m_plan.m_planned_only)
        return;
    for (const auto& request : record.m_requests)
    {
        // A reused connection may close while a request is written to it; the router then does not
        // read that request. A relay accepts connections even while its router is not running.
        if (!request.m_request_written ||
            (request.m_status == 0 && (request.m_reused_connection || down(record, request))))
            continue;
        ++result.m_checked_count;
        if (!request.m_complete || (request.m_status >= 500 && request.m_status != 503))
        {
            report(
                result,
                fmt::format(
                    "{}: status {}, {} bytes, from {} to {} ms", request.m_id, request.m_status,
                    request.m_body.size(), request.m_sent.count(), request.m_ended.count()));
        }
    }
}

/// Routers accept a granted key and refuse a revoked key within the bound, and do not return to the
/// earlier state.
void check_configuration(const soak_record& record, check_result& result)
{
    for (const auto& request : record.m_requests)
    {
        if (request.m_key != revocable_key || request.m_status == 0 || request.m_status == 503)
            continue;
        const fault* last = nullptr;
        bool changes_meanwhile = false;
        for (const auto& one : record.m_injected_faults)
        {
            if (one.m_kind != fault_kind::key_revoked && one.m_kind != fault_kind::key_granted)
                continue;
            if (one.m_at <= request.m_sent)
                last = &one;
            else if (one.m_at <= request.m_ended)
                changes_meanwhile = true;
        }
        const bool granted = last == nullptr || last->m_kind == fault_kind::key_granted;
        const auto since = last == nullptr ? milliseconds(0) : last->m_at;
        if (changes_meanwhile || request.m_sent < since + configuration_bound ||
            disturbed(record, request.m_router, since, request.m_sent))
            continue;
        ++result.m_checked_count;
        if ((request.m_status != 401) != granted)
        {
            report(
                result,
                fmt::format(
                    "{}: status {} at {} ms, key {} at {} ms", request.m_id, request.m_status,
                    request.m_sent.count(), granted ? "granted" : "revoked", since.count()));
        }
    }
}

/// A router that has refused a revoked key accepts it again only after the key is granted or the
/// router restarts.
void check_never_back(const soak_record& record, check_result& result)
{
    for (const auto& refused : record.m_requests)
    {
        if (refused.m_key != revocable_key || refused.m_status != 401)
            continue;
        for (const auto& later : record.m_requests)
        {
            if (later.m_router != refused.m_router || later.m_key != revocable_key ||
                later.m_sent <= refused.m_ended || later.m_status != 200)
                continue;
            ++result.m_checked_count;
            const bool changed = std::any_of(
                record.m_injected_faults.begin(), record.m_injected_faults.end(),
                [&](const fault& one)
                {
                    const bool restarted = (one.m_kind == fault_kind::router_killed ||
                                            one.m_kind == fault_kind::router_stopped) &&
                                           one.m_target == refused.m_router;
                    return (one.m_kind == fault_kind::key_granted || restarted) &&
                           one.m_at + one.m_for + settle_time >= refused.m_sent &&
                           one.m_at <= later.m_ended;
                });
            if (!changed)
            {
                report(
                    result, fmt::format(
                                "{}: answered after {} was refused at the same router", later.m_id,
                                refused.m_id));
            }
        }
    }
}

void check_budget(const soak_record& record, check_result& result)
{
    std::int64_t again = 0;
    for (const auto& [id, count] : record.m_arrivals)
        again += count - 1;
    result.m_checked_count = record.m_requests.size();
    const auto allowed = retry_ratio * static_cast<double>(record.m_requests.size()) + retry_slack;
    if (static_cast<double>(again) > allowed)
        report(result, fmt::format("{} repeated arrivals, {:.0f} allowed", again, allowed));
}

void check_recovery(const soak_record& record, check_result& result)
{
    result.m_checked_count = 1;
    if (!record.m_recovered)
        report(result, "a router did not serve after all were killed and started again");
}

struct named_check
{
    const char* m_name;
    check_function m_check;
};

constexpr named_check checks[]{
    {"streams", check_streams},
    {"right_caller", check_right_caller},
    {"at_most_once", check_at_most_once},
    {"not_run", check_not_run},
    {"layers_once", check_paths},
    {"leaving", check_leaving},
    {"graceful_shutdown", check_graceful},
    {"configuration", check_configuration},
    {"never_back", check_never_back},
    {"budget", check_budget},
    {"recovery", check_recovery}};

} // namespace

std::vector<check_result> check_guarantees(const soak_record& record)
{
    std::vector<check_result> results;
    for (const auto& one : checks)
    {
        check_result result;
        result.m_check = one.m_name;
        one.m_check(record, result);
        results.push_back(std::move(result));
    }
    return results;
}

} // namespace fulmaryard::soak
