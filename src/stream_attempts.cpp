// The part of a stream session that runs attempts and relays their answers.

#include "stream_session.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// Covers several round trips between failure domains; a live endpoint accepts a connection within
// one round trip.
constexpr std::chrono::milliseconds connect_deadline{250};

// Maximum idle time of a keep-alive connection before reuse, unless its endpoint announces less.
// The limit for streams that may run once is short, since after a reset of the connection it is
// unknown whether the stream ran.
constexpr std::chrono::milliseconds max_idle_resumable{30'000};
constexpr std::chrono::milliseconds max_idle_non_resumable{500};

// Maximum size of an event that is not complete yet, with what is read at once.
constexpr std::size_t max_event_bytes = 256 * 1024;

// Maximum number of responses to other requests that are skipped on a connection.
constexpr int max_mismatched_responses = 3;

/// Complete events that the caller has not received yet.
struct new_events
{
    std::string m_text;
    std::uint64_t m_numbered{0}; ///< Only these are progress; others may be comments.
    std::optional<std::uint64_t> m_last_id;
};

/// Returns the size in bytes of the complete events at the start of `text`, none of which ends
/// within the first `searched` bytes.
std::size_t complete_events_size(std::string_view text, std::size_t searched)
{
    std::size_t end = 0;
    for (const std::string_view separator : {"\n\n", "\r\n\r\n"})
    {
        // A separator may begin in what was searched before.
        const auto begin = searched - std::min(searched, separator.size() - 1);
        const auto at = text.substr(begin).rfind(separator);
        if (at != std::string_view::npos)
            end = std::max(end, begin + at + separator.size());
    }
    return end;
}

/// Calls `visit` with each complete event in `text`.
template <typename Visit>
void for_each_event(std::string_view text, Visit visit)
{
    while (!text.empty())
    {
        auto end = text.find("\n\n");
        const auto other = text.find("\r\n\r\n");
        std::size_t size = 2;
        if (other < end)
        {
            end = other;
            size = 4;
        }
        if (end == std::string_view::npos)
            return;
        visit(text.substr(0, end + size));
        text.remove_prefix(end + size);
    }
}

/// Selects the events in `text` that follow the event `last_id`. A resumed stream may begin with
/// events that the caller has already received.
new_events select_new_events(
    const endpoint_protocol& protocol, std::string_view text, std::optional<std::uint64_t> last_id)
{
    new_events selected{{}, 0, last_id};
    for_each_event(
        text,
        [&](std::string_view event)
        {
            const auto number = protocol.event_id(event);
            if (number && selected.m_last_id && *number <= *selected.m_last_id)
                return;
            if (number)
            {
                selected.m_last_id = number;
                ++selected.m_numbered;
            }
            selected.m_text += event;
        });
    return selected;
}

} // namespace

std::string describe(const std::vector<path_hop>& path)
{
    std::string text;
    for (const auto& hop : path)
    {
        text += fmt::format(
            "{}{}={}-{}", text.empty() ? "" : ",", hop.m_address, hop.m_layers.m_begin,
            hop.m_layers.m_end);
    }
    return text;
}

asio::awaitable<std::optional<stream_session::attempt_outcome>>
stream_session::open_channel(stream_attempt& attempt, bool& reused)
{
    const auto now = steady::now();
    const auto address = attempt.m_run.m_address;
    const auto max_idle =
        m_accepted.m_route.m_resumable ? max_idle_resumable : max_idle_non_resumable;
    attempt.m_channel = reused ? m_core.m_channels.take(address, max_idle, now) : nullptr;
    reused = attempt.m_channel != nullptr;
    if (reused)
        co_return std::nullopt;
    attempt.m_channel = m_core.m_channels.create();
    const auto status = co_await attempt.m_channel->connect(address, now + connect_deadline);
    if (status.ok())
        co_return std::nullopt;
    if (!stopped(attempt))
        m_core.suspect_after(attempt.m_run.m_endpoint, status);
    log_event(log_level::info, "attempt_unreachable")
        .with("request", m_accepted.m_call.m_id)
        .with("first", attempt.m_run.m_endpoint)
        .with("reason", message_of(status));
    co_return attempt_outcome::unreachable;
}

asio::awaitable<stream_session::attempt_outcome>
stream_session::run_attempt(stream_attempt& attempt)
{
    if (stopped(attempt))
        co_return attempt_outcome::unreachable;
    const auto first = attempt.m_run.m_endpoint;
    call_target target;
    target.m_endpoint = first;
    target.m_address = attempt.m_run.m_address;
    if (has_pipeline())
        target.m_path = attempt.m_path;
    target.m_account = m_accepted.m_account;
    target.m_time_left = m_accepted.time_left(attempt.m_start);
    target.m_resume_after = m_last_event_id;
    target.m_urgency = m_accepted.m_rank.urgency();
    const auto request = m_core.m_protocol.write_call(m_accepted.m_call, target);
    log_event(log_level::info, "request_placed")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", attempt.m_number)
        .with("path", describe(attempt.m_path))
        .with("tokens", m_tokens)
        .with("token_ms", has_pipeline() ? m_core.path_decode_ms(*service(), attempt.m_path, 0) : 0)
        .with("after_event", m_last_event_id.value_or(0))
        .with("rank", m_accepted.m_rank.value())
        .with("version", m_table->version())
        .with("time_left_ms", target.m_time_left.count());
    absl::StatusOr<http_response> response = http_response{};
    auto sent_at = steady::now();
    // The endpoint may have closed a reused connection. A request that may run again is then sent
    // over a new connection. The endpoint may have received it, so this counts as a retry.
    // A faulty endpoint may write its refusal of this call again on the connection of that refusal.
    for (bool reused = !m_refused_by.contains(first);;)
    {
        if (const auto failed = co_await open_channel(attempt, reused))
            co_return *failed;
        // The other attempt may have been sent since this one started. The endpoint may have said
        // meanwhile that it wants no more requests, or fewer.
        if (m_history.count_with(attempt.m_run) > m_accepted.m_route.m_max_attempts ||
            !m_core.take_send(first, m_draws))
        {
            m_core.m_channels.put(std::move(attempt.m_channel), steady::now());
            co_return attempt_outcome::unreachable;
        }
        m_history.on_sent(attempt.m_run);
        sent_at = steady::now();
        auto status = co_await attempt.m_channel->send(
            request, m_accepted.m_call.m_request.m_body, m_accepted.m_end);
        if (status.ok())
            response = co_await attempt.m_channel->read_head(m_accepted.m_end);
        else
            response = status;
        if (response.ok() || stopped(attempt))
            break;
        if (kind_of(response.status()) == failure_kind::endpoint_lost)
            co_await check_for_crash(attempt);
        if (!reused || !m_accepted.m_route.m_resumable || stopped(attempt) ||
            !attempt.m_crash_causes.empty() || !m_core.try_retry(m_accepted.m_service))
            break;
        log_event(log_level::info, "request_sent_again")
            .with("request", m_accepted.m_call.m_id)
            .with("first", first)
            .with("reason", message_of(response.status()));
        reused = false;
    }
    answer_head head;
    for (int mismatched = 0; response.ok(); ++mismatched)
    {
        head = m_core.m_protocol.read_answer(
            m_accepted.m_call, response->m_status, response->m_fields);
        m_core.note_answer(
            first, attempt.m_run.m_started_ms, response->m_status, response->m_fields, sent_at,
            head.m_matches_call);
        if (head.m_matches_call || mismatched == max_mismatched_responses)
            break;
        const auto skipped = co_await attempt.m_channel->skip_body(m_accepted.m_end);
        if (!skipped.ok())
            response = skipped;
        else
            response = co_await attempt.m_channel->read_head(m_accepted.m_end);
    }
    if (!response.ok() || !head.m_matches_call)
    {
        co_return break_off_attempt(
            attempt, response.ok() ? "responses to other requests" : message_of(response.status()));
    }
    if (head.m_not_run)
    {
        const auto* at_fault = m_core.find_endpoint_at(head.m_refused_by);
        const auto refused_by = at_fault != nullptr ? at_fault->m_id : first;
        m_core.m_refusals.on_refused(refused_by, steady::now());
        m_refused_by.insert(first);
        // After a refused attempt to resume a stream, the caller still waits for the rest of the
        // response. It does not count toward the route's limit.
        m_history.on_refused(attempt.m_run, !m_responded);
        log_event(log_level::info, "attempt_refused")
            .with("request", m_accepted.m_call.m_id)
            .with("attempt", attempt.m_number)
            .with("status", head.m_status)
            .with("endpoint", refused_by)
            .with("path", describe(attempt.m_path));
        m_core.m_metrics.counter("fulmaryard_router_refused_attempts_total").add();
        // Reads the body so that the connection can be reused.
        co_await relay_failure(attempt, std::move(head));
        co_return attempt_outcome::not_run;
    }
    if (head.m_status < 200 || head.m_status >= 300 || !head.m_signed)
        co_return co_await relay_failure(attempt, std::move(head));
    attempt.m_answer_began = true;
    for (const auto& hop : attempt.m_path)
        m_core.m_refusals.on_accepted(hop.m_endpoint);
    const auto end = co_await relay_events(attempt, std::move(head));
    count_attempt_events(attempt, 0, end == attempt_outcome::complete);
    if (end == attempt_outcome::broken && !attempt.m_answer_counted && !stopped(attempt))
        co_await check_for_crash(attempt);
    co_return end;
}

asio::awaitable<stream_session::attempt_outcome>
stream_session::relay_failure(stream_attempt& attempt, answer_head head)
{
    const bool should_retry =
        head.m_status >= 500 && m_accepted.m_route.m_resumable && within_route_limit();
    const bool is_answer =
        !head.m_not_run && !m_responded && (head.m_status >= 300 || head.m_signed);
    std::string body;
    // A body that is not passed on is read so that the connection can be reused.
    absl::Status read;
    if (is_answer)
        read = co_await read_whole_body(attempt, body);
    else
        read = co_await attempt.m_channel->skip_body(m_accepted.m_end);
    if (!read.ok())
        co_return attempt_outcome::broken;
    m_core.m_channels.put(std::move(attempt.m_channel), steady::now());
    if (head.m_not_run)
        co_return attempt_outcome::not_run;
    m_excluded_first_endpoints.insert(attempt.m_run.m_endpoint);
    if (!is_answer || m_responded || attempt.m_closed)
        co_return attempt_outcome::broken;
    http_response answer{head.m_status, std::move(head.m_fields), std::move(body)};
    if (should_retry || others_run(attempt))
    {
        m_held_share.hold(answer.m_body.size());
        m_held_failure = std::move(answer);
        co_return attempt_outcome::broken;
    }
    lead(attempt);
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(answer));
    co_return attempt_outcome::error_relayed;
}

asio::awaitable<absl::Status>
stream_session::read_whole_body(stream_attempt& attempt, std::string& body)
{
    absl::StatusOr<bool> more = true;
    while (more.ok() && *more)
    {
        more = co_await attempt.m_channel->read_body(
            body, m_accepted.m_end,
            std::min(endpoint_channel::max_body_bytes, attempt.m_share.max_bytes()));
        attempt.m_share.hold(body.size());
    }
    co_return more.status();
}

asio::awaitable<stream_session::attempt_outcome>
stream_session::relay_events(stream_attempt& attempt, answer_head head)
{
    std::string text;
    std::size_t searched = 0;
    for (absl::StatusOr<bool> more = true; *more;)
    {
        more = co_await attempt.m_channel->read_body(
            text, m_accepted.m_end, std::min(max_event_bytes, attempt.m_share.max_bytes()));
        if (attempt.m_closed)
            co_return attempt_outcome::broken;
        // Searching all of a long event after each read would take quadratic time.
        const auto size = complete_events_size(text, searched);
        const auto events = select_new_events(
            m_core.m_protocol, std::string_view(text).substr(0, size), m_last_event_id);
        const bool began = attempt.m_events + events.m_numbered > 0;
        const bool complete = more.ok() && !*more && size == text.size() &&
                              (began || !attempt.m_channel->ends_with_connection());
        const bool alone = !others_run(attempt);
        if (events.m_numbered > 0 || (complete && (alone || &attempt == m_leader)))
            lead(attempt);
        // Comments wait while two attempts run, so that only one of them writes to the caller.
        if (&attempt == m_leader && (alone || events.m_numbered > 0 || complete))
        {
            m_last_event_id = events.m_last_id;
            m_event_count += events.m_numbered;
            count_attempt_events(attempt, events.m_numbered, false);
            text.erase(0, size);
            searched = text.size();
            attempt.m_share.hold(text.size() + events.m_text.size());
            if (events.m_numbered > 0)
                record_progress(steady::now());
            if (!events.m_text.empty() && !m_client_disconnected)
                co_await send_events(head, events.m_text);
        }
        else
            attempt.m_share.hold(text.size());
        if (m_client_disconnected)
            co_return attempt_outcome::broken;
        if (!more.ok())
            co_return break_off_attempt(attempt, message_of(more.status()));
    }
    if (&attempt != m_leader)
        co_return break_off_attempt(attempt, "the answer ends without a new event");
    // A response without a length may have been truncated within an event.
    if (!text.empty())
        co_return break_off_attempt(attempt, "the answer ends within an event");
    if (attempt.m_events == 0 && attempt.m_channel->ends_with_connection())
        co_return break_off_attempt(attempt, "the answer ends before an event");
    // The check below takes time, in which no other attempt may start.
    attempt.m_answer_read = true;
    if (attempt.m_channel->ends_with_connection())
    {
        if (co_await m_core.check_killed(attempt.m_run))
            co_return break_off_attempt(attempt, "the endpoint ended with its answer");
        if (&attempt != m_leader || m_client_disconnected)
            co_return attempt_outcome::broken;
    }
    m_core.m_channels.put(std::move(attempt.m_channel), steady::now());
    if (!m_responded)
    {
        http_response whole{head.m_status, std::move(head.m_fields), {}};
        m_responded = true;
        std::ignore = co_await m_exchange.respond(std::move(whole));
    }
    else
        std::ignore = co_await m_exchange.send_last_chunk();
    co_return attempt_outcome::complete;
}

asio::awaitable<void> stream_session::send_events(answer_head& head, const std::string& events)
{
    const auto start = steady::now();
    m_is_sending = true;
    if (!m_responded)
    {
        m_responded = true;
        http_response begin{head.m_status, std::move(head.m_fields), {}};
        const auto status = co_await m_exchange.begin_chunked(std::move(begin));
        m_client_disconnected = m_client_disconnected || !status.ok();
    }
    const auto status = co_await m_exchange.send_chunk(events);
    m_client_disconnected = m_client_disconnected || !status.ok();
    m_is_sending = false;
    // Time that the caller took to read is not a pause of the endpoint.
    m_last_progress += steady::now() - start;
}

void stream_session::lead(stream_attempt& attempt)
{
    m_leader = &attempt;
    m_last_first_endpoint = attempt.m_run.m_endpoint;
    for (const auto& other : m_attempts)
    {
        if (other.get() == &attempt || !other->running())
            continue;
        log_event(log_level::info, "attempt_superseded")
            .with("request", m_accepted.m_call.m_id)
            .with("attempt", other->m_number)
            .with("path", describe(other->m_path))
            .with("by", attempt.m_number)
            .with("events", m_event_count);
        // Pooled connections to a silent endpoint may be stalled for the same reason.
        if (other->m_channel != nullptr && other->m_number < attempt.m_number)
            m_core.m_channels.close_idle(other->m_channel->address());
        other->close();
    }
}

stream_session::attempt_outcome
stream_session::break_off_attempt(const stream_attempt& attempt, std::string_view reason)
{
    m_excluded_first_endpoints.insert(attempt.m_run.m_endpoint);
    log_event(log_level::info, "attempt_broken")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", attempt.m_number)
        .with("reason", reason)
        .with("path", describe(attempt.m_path))
        .with("events", m_event_count)
        .with("answer_began", attempt.m_answer_began)
        .with("shared_parts", fmt::format("{}", fmt::join(m_accepted.m_call.m_shared_parts, ",")))
        .with("superseded", attempt.m_closed)
        .with("caller_left", m_client_disconnected);
    return attempt_outcome::broken;
}

} // namespace fulmaryard
