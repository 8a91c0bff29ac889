#include "plain_session.hpp"
#include "router_streams.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>

#include <boost/asio/co_spawn.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <exception>
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

// An idempotent call that is not answered after this share of its time is sent to a second endpoint
// as well. The rest is enough for a typical call.
constexpr int second_attempt_percent = 60;

// Time between two tries to start one, while no endpoint is free or after one has refused the call.
constexpr std::chrono::milliseconds second_attempt_interval{50};

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
      m_latest_answer(m_accepted.m_end - response_margin),
      m_wait_timer(core.m_io),
      m_attempt_timer(core.m_io)
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
    close_attempts();
}

void plain_session::close_attempts()
{
    for (const auto& attempt : m_attempts)
        attempt->close();
}

bool plain_session::stopped(const plain_attempt& attempt) const
{
    return attempt.m_closed || m_client_disconnected || m_ended;
}

asio::awaitable<void> plain_session::run()
{
    m_core.count_request(m_accepted.m_service);
    m_draws.m_rank =
        limit_draws::rank_of(m_accepted.m_rank, m_core.m_streams->take_expected_retry(m_accepted));
    m_exchange.watch_for_disconnect(
        [this]
        {
            m_client_disconnected = true;
            close_attempts();
        });
    // After a pause or right after its start, a router may read requests of clients that have
    // already disconnected.
    if (m_exchange.client_disconnected())
        co_return;
    // The call may last until its deadline or the route's timeout; refuses it if this router shuts
    // down before that.
    if (m_accepted.m_end > m_accepted.m_shutdown_deadline)
        co_return co_await finish(attempt_outcome::not_run);
    if (const auto wait = m_core.m_quarantine.admit(
            m_suspects.known_to(m_core.m_quarantine), steady::now(), m_core.m_owns_trial))
        co_return co_await refuse_quarantined(*wait);
    for (;;)
    {
        m_draws.m_granted.clear();
        auto endpoint = m_core.choose_endpoint(m_accepted.m_service, m_tried_endpoints, m_draws);
        if (endpoint.empty() && !m_tried_endpoints.empty())
            endpoint = m_core.choose_endpoint(m_accepted.m_service, {}, m_draws);
        if (endpoint.empty() && co_await wait_until_work_is_wanted())
            continue;
        if (endpoint.empty())
            co_return co_await finish(attempt_outcome::not_run);
        start_attempt(endpoint);
        const auto end = co_await finish_attempts();
        if (m_client_disconnected)
            co_return log_end("caller_left");
        if (end == attempt_outcome::answered || !may_retry(end))
            co_return co_await finish(end);
    }
}

void plain_session::start_attempt(const std::string& endpoint)
{
    const auto* record = m_core.find_endpoint(endpoint);
    auto& attempt =
        *m_attempts.emplace_back(std::make_unique<plain_attempt>(m_core.m_answer_memory));
    attempt.m_number = ++m_attempt_count;
    attempt.m_run = {endpoint, record->m_started_ms, record->m_address};
    // A faulty endpoint may write its refusal of this call again on the connection of that refusal.
    attempt.m_may_reuse = !m_tried_endpoints.contains(endpoint);
    m_endpoint = endpoint;
    m_tried_endpoints.insert(endpoint);
    ++m_core.m_plain_calls[endpoint];
    asio::co_spawn(
        m_exchange.executor(), run_attempt(attempt),
        [this, &attempt](const std::exception_ptr& failure, attempt_outcome outcome)
        {
            attempt.m_failure = failure;
            attempt.m_outcome = outcome;
            m_attempt_timer.cancel();
        });
}

asio::awaitable<plain_session::attempt_outcome> plain_session::finish_attempts()
{
    const auto now = steady::now();
    m_second_attempt_at = now + (m_latest_answer - now) * second_attempt_percent / 100;
    m_hedge_at = hedge_time();
    auto end = attempt_outcome::unknown;
    std::exception_ptr failure;
    while (!m_attempts.empty())
    {
        const auto ended = std::find_if(
            m_attempts.begin(), m_attempts.end(),
            [](const auto& attempt) { return attempt->m_outcome.has_value(); });
        if (ended == m_attempts.end())
        {
            const bool hedges = m_hedge_at && *m_hedge_at < m_second_attempt_at;
            m_attempt_timer.expires_at(hedges ? *m_hedge_at : m_second_attempt_at);
            const auto [cancelled] = co_await m_attempt_timer.async_wait(use_tuple);
            if (!cancelled && hedges)
                start_hedge();
            else if (!cancelled)
                start_second_attempt();
            continue;
        }
        if ((*ended)->m_failure)
            failure = (*ended)->m_failure;
        const bool superseded = (*ended)->m_closed;
        const auto outcome = remove_attempt(static_cast<std::size_t>(ended - m_attempts.begin()));
        if (!superseded)
            end = outcome;
        if (end == attempt_outcome::answered || failure)
            close_attempts();
    }
    if (failure)
        std::rethrow_exception(failure);
    co_return end;
}

void plain_session::start_second_attempt()
{
    if (m_ended || m_client_disconnected || !idempotent() || m_attempt_count >= max_attempts ||
        m_history.count() >= m_accepted.m_route.m_max_attempts)
    {
        m_second_attempt_at = accepted_call::time_point::max();
        return;
    }
    m_second_attempt_at = steady::now() + second_attempt_interval;
    if (m_attempts.size() != 1)
        return;
    const auto endpoint = m_core.choose_endpoint(m_accepted.m_service, m_tried_endpoints, m_draws);
    if (endpoint.empty() || !m_core.try_retry(m_accepted.m_service))
        return;
    start_attempt(endpoint);
}

std::string plain_session::route_key() const
{
    return m_accepted.m_route.m_host + m_accepted.m_route.m_path_prefix;
}

std::optional<accepted_call::time_point> plain_session::hedge_time() const
{
    const auto delay = m_core.m_hedges.delay(route_key());
    if (!idempotent() || !delay || m_hedged)
        return std::nullopt;
    return m_accepted.m_arrival + *delay;
}

void plain_session::start_hedge()
{
    m_hedge_at.reset();
    if (m_ended || m_client_disconnected || m_attempts.size() != 1 ||
        m_attempt_count >= max_attempts || m_history.count() >= m_accepted.m_route.m_max_attempts)
        return m_core.deny_hedge("call", "attempts");
    limit_draws spare{m_draws.m_rank, true};
    const auto endpoint = m_core.choose_endpoint(m_accepted.m_service, m_tried_endpoints, spare);
    if (endpoint.empty() || m_core.m_plain_calls.contains(endpoint))
        return m_core.deny_hedge("call", "no_endpoint");
    if (!m_core.try_hedge(m_accepted.m_service, "call"))
        return;
    log_event(log_level::info, "call_hedged")
        .with("request", m_accepted.m_call.m_id)
        .with("first", m_endpoint)
        .with("second", endpoint)
        .with(
            "after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            steady::now() - m_accepted.m_arrival)
                            .count());
    m_hedged = true;
    start_attempt(endpoint);
    m_attempts.back()->m_is_hedge = true;
}

plain_session::attempt_outcome plain_session::remove_attempt(std::size_t index)
{
    const auto attempt = std::move(m_attempts[index]);
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(index));
    const auto calls = m_core.m_plain_calls.find(attempt->m_run.m_endpoint);
    if (--calls->second == 0)
        m_core.m_plain_calls.erase(calls);
    if (attempt->m_response && !attempt->m_closed)
    {
        m_endpoint = attempt->m_run.m_endpoint;
        m_share.hold(attempt->m_response->m_body.size());
        m_last_response = std::move(attempt->m_response);
        if (m_hedged && *attempt->m_outcome == attempt_outcome::answered)
            m_core.count_hedge_end("call", attempt->m_is_hedge);
    }
    return *attempt->m_outcome;
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
    const auto parts = m_suspects.known_to(m_core.m_quarantine);
    if (m_core.m_quarantine.quarantined(parts, steady::now()) ||
        (m_crashed && !m_core.m_quarantine.may_repeat(m_suspects.request(), steady::now())))
        return false;
    return m_history.count() < m_accepted.m_route.m_max_attempts &&
           m_core.try_retry(m_accepted.m_service);
}

asio::awaitable<plain_session::attempt_outcome> plain_session::run_attempt(plain_attempt& attempt)
{
    if (stopped(attempt))
        co_return attempt_outcome::not_run;
    if (attempt.m_may_reuse)
    {
        attempt.m_channel = m_core.m_channels.take(
            attempt.m_run.m_address, idempotent() ? max_idle_idempotent : max_idle_non_idempotent,
            steady::now());
    }
    const bool reused = attempt.m_channel != nullptr;
    bool connection_stale = false;
    auto end = co_await send_and_receive(attempt, reused, connection_stale);
    co_await check_for_crash(attempt);
    // If the pooled connection was closed, sends an idempotent call again on a new connection. The
    // endpoint may have received the first one, so this counts as a retry.
    if (connection_stale && idempotent() && !attempt.m_crashed && !stopped(attempt) &&
        steady::now() < m_latest_answer && m_core.try_retry(m_accepted.m_service))
    {
        end = co_await send_and_receive(attempt, false, connection_stale);
        co_await check_for_crash(attempt);
    }
    co_return end;
}

asio::awaitable<void> plain_session::check_for_crash(plain_attempt& attempt)
{
    if (!std::exchange(attempt.m_connection_lost, false) || stopped(attempt))
        co_return;
    attempt.m_crashed = co_await m_core.check_crashed(attempt.m_run);
    if (!attempt.m_crashed)
        co_return;
    m_crashed = true;
    m_core.note_crash(
        m_accepted.m_call.m_id, m_suspects.identity(), attempt.m_run, m_suspects.request());
}

asio::awaitable<plain_session::attempt_outcome>
plain_session::send_and_receive(plain_attempt& attempt, bool reused, bool& connection_stale)
{
    connection_stale = false;
    const auto& run = attempt.m_run;
    if (m_core.find_endpoint(run.m_endpoint) == nullptr)
        co_return attempt_outcome::not_run;
    call_target target;
    target.m_endpoint = run.m_endpoint;
    target.m_address = run.m_address;
    target.m_account = m_accepted.m_account;
    if (!reused)
    {
        attempt.m_channel = m_core.m_channels.create();
        const auto status = co_await attempt.m_channel->connect(
            target.m_address, std::min(m_latest_answer, steady::now() + connect_deadline));
        if (!status.ok())
        {
            if (!stopped(attempt))
                m_core.suspect_after(run.m_endpoint, status);
            co_return attempt_outcome::not_run;
        }
    }
    // The other attempt may have been sent since this one started. The endpoint may have said
    // meanwhile that it wants no more requests, or fewer.
    if (m_history.count_with(run) > m_accepted.m_route.m_max_attempts ||
        !m_core.take_send(run.m_endpoint, m_draws))
    {
        m_core.m_channels.put(std::move(attempt.m_channel), steady::now());
        co_return attempt_outcome::not_run;
    }
    target.m_time_left = m_accepted.time_left(steady::now());
    const auto request = m_core.m_protocol.write_call(m_accepted.m_call, target);
    ++m_send_count;
    m_history.on_sent(run);
    const auto sent_at = steady::now();
    log_event(log_level::info, "call_sent")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", attempt.m_number)
        .with("endpoint", run.m_endpoint)
        .with("address", target.m_address)
        .with("kept_connection", reused)
        .with("time_left_ms", target.m_time_left.count());
    const auto sent = co_await attempt.m_channel->send(
        request, m_accepted.m_call.m_request.m_body, m_latest_answer);
    if (!sent.ok())
    {
        connection_stale = reused;
        co_return break_off_attempt(attempt, sent);
    }
    for (int mismatched = 0; mismatched <= max_mismatched_responses; ++mismatched)
    {
        auto response = co_await attempt.m_channel->read_head(m_latest_answer);
        if (!response.ok())
        {
            connection_stale = reused && kind_of(response.status()) == failure_kind::endpoint_lost;
            co_return break_off_attempt(attempt, response.status());
        }
        auto head = m_core.m_protocol.read_answer(
            m_accepted.m_call, response->m_status, response->m_fields);
        m_core.note_answer(
            run.m_endpoint, run.m_started_ms, response->m_status, response->m_fields, sent_at,
            head.m_matches_call);
        const bool success = head.m_status < 300;
        const bool passed_on =
            head.m_matches_call && !head.m_not_run && (head.m_signed || !success);
        // A body that is not passed on is read so that the connection can be reused.
        absl::Status read;
        if (passed_on)
            read = co_await read_whole_body(attempt, response->m_body);
        else
            read = co_await attempt.m_channel->skip_body(m_latest_answer);
        if (!read.ok())
            co_return break_off_attempt(attempt, read);
        if (passed_on && attempt.m_channel->ends_with_connection() &&
            co_await m_core.check_killed(run))
            co_return break_off_attempt(attempt, "the endpoint ended with its answer");
        // A late response to another call can arrive on a pooled connection; skips it.
        if (!head.m_matches_call)
            continue;
        m_core.m_channels.put(std::move(attempt.m_channel), steady::now());
        if (head.m_not_run)
        {
            m_history.on_refused(run, true);
            co_return attempt_outcome::not_run;
        }
        if (!passed_on)
            co_return break_off_attempt(attempt, "a success without a signature");
        m_core.m_quarantine.on_answered(m_suspects.known_to(m_core.m_quarantine), steady::now());
        attempt.m_response =
            http_response{head.m_status, std::move(head.m_fields), std::move(response->m_body)};
        co_return head.m_status < 500 ? attempt_outcome::answered : attempt_outcome::failed;
    }
    co_return break_off_attempt(attempt, "responses to other requests");
}

asio::awaitable<absl::Status>
plain_session::read_whole_body(plain_attempt& attempt, std::string& body)
{
    absl::StatusOr<bool> more = true;
    while (more.ok() && *more)
    {
        more = co_await attempt.m_channel->read_body(
            body, m_latest_answer,
            std::min(endpoint_channel::max_body_bytes, attempt.m_share.max_bytes()));
        attempt.m_share.hold(body.size());
    }
    co_return more.status();
}

plain_session::attempt_outcome
plain_session::break_off_attempt(plain_attempt& attempt, const absl::Status& status) const
{
    attempt.m_connection_lost = kind_of(status) == failure_kind::endpoint_lost;
    return break_off_attempt(attempt, message_of(status));
}

plain_session::attempt_outcome
plain_session::break_off_attempt(const plain_attempt& attempt, std::string_view reason) const
{
    log_event(log_level::info, "call_broken_off")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", attempt.m_number)
        .with("endpoint", attempt.m_run.m_endpoint)
        .with("reason", reason)
        .with("superseded", attempt.m_closed)
        .with("caller_left", m_client_disconnected);
    return attempt_outcome::unknown;
}

asio::awaitable<void> plain_session::refuse_quarantined(std::chrono::milliseconds wait)
{
    m_core.m_metrics.counter("fulmaryard_router_quarantine_refusals_total").add();
    log_end("not_run");
    log_event(log_level::info, "request_refused")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", "the call crashes endpoints")
        .with("retry_after_ms", wait.count());
    auto response = m_core.m_protocol.refusal(m_accepted.m_call, 503, wait);
    std::ignore = co_await m_exchange.respond(std::move(response));
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
    {
        const auto retry_after = m_core.retry_after(m_accepted.m_service, m_draws);
        m_core.m_streams->add_expected_retry(m_accepted, steady::now() + retry_after);
        response = m_core.m_protocol.refusal(m_accepted.m_call, 503, retry_after);
    }
    else
    {
        const bool deadline_passed = steady::now() >= m_latest_answer;
        response = m_core.m_protocol.refusal(m_accepted.m_call, deadline_passed ? 504 : 502, {});
    }
    std::ignore = co_await m_exchange.respond(std::move(response));
}

void plain_session::log_end(std::string_view outcome) const
{
    const auto now = steady::now();
    if (outcome == "answered")
        m_core.m_hedges.on_answer(route_key(), now - m_accepted.m_arrival);
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
