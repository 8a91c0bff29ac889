// The part of a stream session that deals with prompts under which endpoints crash.

#include "stream_session.hpp"

#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/prompt_quarantine.hpp>

#include <boost/asio/awaitable.hpp>

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

// An endpoint whose answer ends before this many events may have crashed under its prompt.
constexpr std::uint64_t min_sound_events = 2;

} // namespace

void stream_session::count_attempt_events(
    stream_attempt& attempt, std::uint64_t events, bool complete)
{
    attempt.m_events += events;
    if (attempt.m_answer_counted || (attempt.m_events < min_sound_events && !complete))
        return;
    attempt.m_answer_counted = true;
    m_core.m_quarantine.on_answered(m_accepted.m_call.m_shared_parts, steady::now());
}

asio::awaitable<void> stream_session::check_for_crash(stream_attempt& attempt)
{
    const auto& parts = m_accepted.m_call.m_shared_parts;
    if (parts.empty())
        co_return;
    const auto run = attempt.m_run;
    const bool ended = co_await m_core.check_ended(run);
    if (ended)
        m_core.suspect(run.m_endpoint, "connection refused");
    const auto now = steady::now();
    const auto* record = m_core.find_endpoint(run.m_endpoint);
    attempt.m_crashed = record != nullptr && (ended || record->m_started_ms != run.m_started_ms);
    if (!attempt.m_crashed)
        co_return;
    log_event(log_level::info, "endpoint_crashed")
        .with("request", m_accepted.m_call.m_id)
        .with("endpoint", run.m_endpoint)
        .with("started_ms", run.m_started_ms)
        .with("shared_parts", fmt::format("{}", fmt::join(parts, ",")));
    m_core.m_metrics.counter("fulmaryard_router_endpoint_crashes_total").add();
    const auto run_name = fmt::format("{}@{}", run.m_endpoint, run.m_started_ms);
    m_core.note_quarantine(m_core.m_quarantine.on_crashed(parts, run_name, now), "own observation");
}

void stream_session::on_quarantine()
{
    if (!m_core.m_quarantine.quarantined(m_accepted.m_call.m_shared_parts, steady::now()))
        return;
    const bool answer_began = std::any_of(
        m_attempts.begin(), m_attempts.end(),
        [](const auto& attempt) { return attempt->m_answer_began; });
    if (answer_began)
        return;
    m_quarantined = true;
    m_queue_timer.cancel();
    close_attempts();
}

asio::awaitable<void> stream_session::refuse_quarantined(std::chrono::milliseconds wait)
{
    m_core.m_metrics.counter("fulmaryard_router_quarantine_refusals_total").add();
    const std::string_view reason = "a part of the prompt crashes endpoints";
    if (m_history.may_have_run() || m_responded)
        co_return co_await fail_request(reason);
    const auto held =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - m_accepted.m_arrival);
    log_event(log_level::info, "request_refused")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("retry_after_ms", wait.count())
        .with("held_ms", held.count());
    auto response = m_core.m_protocol.refusal(m_accepted.m_call, 503, wait);
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(response));
}

} // namespace fulmaryard
