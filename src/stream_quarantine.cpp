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
    m_core.m_quarantine.on_answered(m_suspects.known_to(m_core.m_quarantine), steady::now());
}

asio::awaitable<void> stream_session::check_for_crash(stream_attempt& attempt)
{
    const bool crashed = co_await m_core.check_crashed(attempt.m_run);
    if (!crashed)
        co_return;
    // Many requests may wait for an answer at an endpoint. That it ends then says nothing of the
    // parts of their prompts.
    attempt.m_crash_causes = attempt.m_answer_began ? m_suspects.all() : m_suspects.request();
    m_core.note_crash(
        m_accepted.m_call.m_id, m_suspects.identity(), attempt.m_run, attempt.m_crash_causes);
}

bool stream_session::quarantined(time_point now)
{
    return m_core.m_quarantine.quarantined(m_suspects.known_to(m_core.m_quarantine), now);
}

void stream_session::on_quarantine()
{
    if (!quarantined(steady::now()))
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
