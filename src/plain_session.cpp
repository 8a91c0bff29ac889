#include "plain_session.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>

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

// Several round trips between failure domains; a reachable endpoint accepts within one.
constexpr std::chrono::milliseconds connect_deadline{250};

// Maximum idle time of a pooled connection. The limit for calls that are not idempotent is short,
// since after a reset of the connection it is unknown whether the call ran.
constexpr std::chrono::milliseconds max_idle_non_idempotent{500};
constexpr std::chrono::milliseconds max_idle_idempotent{30'000};

constexpr std::uint32_t max_attempts = 4; // Including those that fail to connect.

// Responses to other calls that one attempt skips on a pooled connection.
constexpr int max_mismatched_responses = 3;

// Time reserved before the caller's deadline for the response to reach the caller.
constexpr std::chrono::milliseconds response_margin{40};

// A call may wait for an endpoint that wants no work for some time until its latency objective
// divided by this value has passed. The rest of the objective is for the call itself.
constexpr int waiting_objective_divisor = 2;

} // namespace

plain_session::plain_session(router_core& core, http_exchange& exchange, accepted_call accepted)
    : m_core(core),
      m_exchange(exchange),
      m_accepted(std::move(accepted)),
      m_share(core.m_answer_memory),
      m_wait_timer(core.m_io)
{
    m_core.m_open_sessions.insert(this);
}

plain_session::~plain_session()
{
    m_core.m_open_sessions.erase(this);
}

void plain_session::end()
{
    m_ended = true;
    m_wait_timer.cancel();
    if (m_channel != nullptr)
        m_channel->close();
}

asio::awaitable<void> plain_session::run()
{
    m_core.count_request(m_accepted.m_service);
    m_exchange.watch_for_disconnect(
        [this]
        {
            m_client_disconnected = true;
            if (m_channel != nullptr)
                m_channel->close();
        });
    // After a pause or right after its start, a router may read requests of clients that have
    // already disconnected.
    if (m_exchange.client_disconnected())
        co_return;
    // The call may last until its deadline or the route's timeout; refuses it if this router shuts
    // down before that.
    if (m_accepted.m_end > m_accepted.m_shutdown_deadline)
        co_return co_await finish(attempt_outcome::not_run);
    for (;;)
    {
        m_endpoint = m_core.choose_endpoint(m_accepted.m_service, m_tried_endpoints);
        if (m_endpoint.empty() && !m_tried_endpoints.empty())
            m_endpoint = m_core.choose_endpoint(m_accepted.m_service, {});
        if (m_endpoint.empty() && co_await wait_until_work_is_wanted())
            continue;
        if (m_endpoint.empty())
            co_return co_await finish(attempt_outcome::not_run);
        ++m_core.m_plain_calls[m_endpoint];
        const auto end = co_await attempt();
        if (--m_core.m_plain_calls[m_endpoint] == 0)
            m_core.m_plain_calls.erase(m_endpoint);
        m_channel.reset();
        m_tried_endpoints.insert(m_endpoint);
        if (m_client_disconnected)
            co_return log_end("caller_left");
        if (end == attempt_outcome::answered || !may_retry(end))
            co_return co_await finish(end);
    }
}

asio::awaitable<bool> plain_session::wait_until_work_is_wanted()
{
    const auto wanted = m_core.work_wanted_at(m_accepted.m_service);
    const auto latest = std::min(
        m_accepted.m_arrival + m_accepted.m_route.m_latency_objective / waiting_objective_divisor,
        m_accepted.m_end - response_margin);
    if (!wanted || *wanted > latest || m_client_disconnected || m_ended)
        co_return false;
    m_wait_timer.expires_at(*wanted + m_core.random_spread(latest - *wanted));
    co_await m_wait_timer.async_wait(use_tuple);
    m_client_disconnected = m_client_disconnected || m_exchange.client_disconnected();
    co_return !m_client_disconnected && !m_ended;
}

bool plain_session::may_retry(attempt_outcome end)
{
    if (m_ended || m_attempt_count >= max_attempts ||
        steady::now() + response_margin >= m_accepted.m_end)
        return false;
    // The route's limit counts sent calls only, so a failed connect is not charged to it.
    if (end == attempt_outcome::not_run && m_send_count == 0)
        return true;
    if (m_history.may_have_run() && !idempotent())
        return false;
    return m_history.count() < m_accepted.m_route.m_max_attempts &&
           m_core.try_retry(m_accepted.m_service);
}

asio::awaitable<plain_session::attempt_outcome> plain_session::attempt()
{
    ++m_attempt_count;
    const auto now = steady::now();
    const auto* record = m_core.find_endpoint(m_endpoint);
    const auto address = record->m_address;
    m_attempt_deadline = m_accepted.m_end - response_margin;
    // An idempotent call keeps 2/5 of the remaining time for further attempts.
    if (idempotent() && m_history.count() + 1 < m_accepted.m_route.m_max_attempts)
        m_attempt_deadline = std::min(m_attempt_deadline, now + (m_attempt_deadline - now) * 3 / 5);
    // A faulty endpoint may write its refusal of this call again on the connection of that refusal.
    if (!m_tried_endpoints.contains(m_endpoint))
    {
        m_channel = m_core.m_channels.take(
            address, idempotent() ? max_idle_idempotent : max_idle_non_idempotent, now);
    }
    const bool reused = m_channel != nullptr;
    bool connection_stale = false;
    auto end = co_await send_and_receive(reused, connection_stale);
    // If the pooled connection was closed, sends an idempotent call again on a new connection. The
    // endpoint may have received the first one, so this counts as a retry.
    if (connection_stale && idempotent() && !m_client_disconnected && !m_ended &&
        steady::now() < m_attempt_deadline && m_core.try_retry(m_accepted.m_service))
    {
        m_channel.reset();
        end = co_await send_and_receive(false, connection_stale);
    }
    co_return end;
}

asio::awaitable<plain_session::attempt_outcome>
plain_session::send_and_receive(bool reused, bool& connection_stale)
{
    connection_stale = false;
    const auto* record = m_core.find_endpoint(m_endpoint);
    if (record == nullptr)
        co_return attempt_outcome::not_run;
    // The record may be removed while the connection is opened.
    const auto started_ms = record->m_started_ms;
    const endpoint_run run{m_endpoint, started_ms, record->m_address};
    call_target target;
    target.m_endpoint = m_endpoint;
    target.m_address = record->m_address;
    target.m_account = m_accepted.m_account;
    if (!reused)
    {
        m_channel = m_core.m_channels.create();
        const auto status = co_await m_channel->connect(
            target.m_address, std::min(m_attempt_deadline, steady::now() + connect_deadline));
        if (!status.ok())
        {
            if (!m_client_disconnected && !m_ended)
                m_core.suspect_after(m_endpoint, status);
            co_return attempt_outcome::not_run;
        }
    }
    // The endpoint may have said meanwhile that it wants no more requests.
    if (!m_core.may_send(m_endpoint))
    {
        m_core.m_channels.put(std::move(m_channel), steady::now());
        co_return attempt_outcome::not_run;
    }
    target.m_time_left = m_accepted.time_left(steady::now());
    const auto request = m_core.m_protocol.write_call(m_accepted.m_call, target);
    ++m_send_count;
    m_history.on_sent(run);
    log_event(log_level::info, "call_sent")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", m_attempt_count)
        .with("endpoint", m_endpoint)
        .with("address", target.m_address)
        .with("kept_connection", reused)
        .with("time_left_ms", target.m_time_left.count());
    const auto sent = co_await m_channel->send(request, m_attempt_deadline);
    if (!sent.ok())
    {
        connection_stale = reused;
        co_return break_off_attempt(message_of(sent));
    }
    for (int mismatched = 0; mismatched <= max_mismatched_responses; ++mismatched)
    {
        auto response = co_await m_channel->read_head(m_attempt_deadline);
        if (!response.ok())
        {
            connection_stale = reused && kind_of(response.status()) == failure_kind::endpoint_lost;
            co_return break_off_attempt(message_of(response.status()));
        }
        m_core.note_answer(m_endpoint, started_ms, response->m_status, response->m_fields);
        auto head = m_core.m_protocol.read_answer(
            m_accepted.m_call, response->m_status, response->m_fields);
        const bool success = head.m_status < 300;
        const bool passed_on =
            head.m_matches_call && !head.m_not_run && (head.m_signed || !success);
        // A body that is not passed on is read so that the connection can be reused.
        absl::Status read;
        if (passed_on)
            read = co_await read_whole_body(response->m_body);
        else
            read = co_await m_channel->skip_body(m_attempt_deadline);
        if (!read.ok())
            co_return break_off_attempt(message_of(read));
        // A late response to another call can arrive on a pooled connection; skips it.
        if (!head.m_matches_call)
            continue;
        m_core.m_channels.put(std::move(m_channel), steady::now());
        if (head.m_not_run)
        {
            m_history.on_refused(run, true);
            co_return attempt_outcome::not_run;
        }
        if (!passed_on)
            co_return break_off_attempt("a success without a signature");
        m_last_response =
            http_response{head.m_status, std::move(head.m_fields), std::move(response->m_body)};
        m_share.hold(m_last_response->m_body.size());
        co_return head.m_status < 500 ? attempt_outcome::answered : attempt_outcome::failed;
    }
    co_return break_off_attempt("responses to other requests");
}

asio::awaitable<absl::Status> plain_session::read_whole_body(std::string& body)
{
    const auto earlier = m_last_response ? m_last_response->m_body.size() : 0;
    absl::StatusOr<bool> more = true;
    while (more.ok() && *more)
    {
        more = co_await m_channel->read_body(
            body, m_attempt_deadline,
            std::min(endpoint_channel::max_body_bytes, m_share.max_bytes()));
        m_share.hold(earlier + body.size());
    }
    if (!more.ok())
        m_share.hold(earlier);
    co_return more.status();
}

plain_session::attempt_outcome plain_session::break_off_attempt(std::string_view reason) const
{
    log_event(log_level::info, "call_broken_off")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", m_attempt_count)
        .with("endpoint", m_endpoint)
        .with("reason", reason)
        .with("caller_left", m_client_disconnected);
    return attempt_outcome::unknown;
}

asio::awaitable<void> plain_session::finish(attempt_outcome end)
{
    constexpr std::array outcome_names{"answered", "not_run", "unknown", "failed"};
    // A refusal tells the caller that no endpoint ran the call, so it must not be sent if an
    // earlier send may have run it.
    if (end == attempt_outcome::not_run && m_history.may_have_run())
        end = attempt_outcome::unknown;
    log_end(outcome_names[static_cast<std::size_t>(end)]);
    http_response response;
    if (m_last_response && end != attempt_outcome::not_run)
        response = *std::move(m_last_response);
    else if (end == attempt_outcome::not_run)
        response = m_core.m_protocol.refusal(
            m_accepted.m_call, 503, m_core.retry_after(m_accepted.m_service));
    else
    {
        const bool deadline_passed = steady::now() >= m_attempt_deadline;
        response = m_core.m_protocol.refusal(m_accepted.m_call, deadline_passed ? 504 : 502, {});
    }
    std::ignore = co_await m_exchange.respond(std::move(response));
}

void plain_session::log_end(std::string_view outcome) const
{
    const auto now = steady::now();
    m_core.m_metrics
        .counter("fulmaryard_router_calls_total", fmt::format("outcome=\"{}\"", outcome))
        .add();
    m_core.m_metrics.histogram("fulmaryard_router_call_seconds").record(now - m_accepted.m_arrival);
    log_event(log_level::info, "call_ended")
        .with("request", m_accepted.m_call.m_id)
        .with("outcome", outcome)
        .with("endpoint", m_endpoint)
        .with("attempts", m_attempt_count)
        .with("sends", m_send_count)
        .with(
            "after_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_accepted.m_arrival)
                .count());
}

} // namespace fulmaryard
