// The part of a stream session that deals with prompts under which endpoints crash.

#include "stream_session.hpp"

#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/prompt_quarantine.hpp>

#include <boost/asio/awaitable.hpp>

#include <fmt/format.h>

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

void stream_session::count_attempt_events(std::uint64_t events, bool complete)
{
    m_attempt_events += events;
    if (m_answer_counted || (m_attempt_events < min_sound_events && !complete))
        return;
    m_answer_counted = true;
    m_core.m_quarantine.on_answered(m_accepted.m_call.m_shared_parts, steady::now());
}

asio::awaitable<void> stream_session::check_for_crash(std::uint64_t started_ms)
{
    const auto& parts = m_accepted.m_call.m_shared_parts;
    const auto first = m_path.front();
    if (parts.empty())
        co_return;
    const endpoint_run run{first.m_endpoint, started_ms, first.m_address};
    const bool ended = co_await m_core.check_ended(run);
    if (ended)
        m_core.suspect(first.m_endpoint, "connection refused");
    const auto now = steady::now();
    const auto* record = m_core.find_endpoint(first.m_endpoint);
    m_crashed = record != nullptr && (ended || record->m_started_ms != started_ms);
    if (!m_crashed)
        co_return;
    log_event(log_level::info, "endpoint_crashed")
        .with("request", m_accepted.m_call.m_id)
        .with("endpoint", first.m_endpoint)
        .with("started_ms", started_ms)
        .with("shared_parts", fmt::format("{}", fmt::join(parts, ",")));
    m_core.m_metrics.counter("fulmaryard_router_endpoint_crashes_total").add();
    const auto run_name = fmt::format("{}@{}", first.m_endpoint, started_ms);
    m_core.note_quarantine(m_core.m_quarantine.on_crashed(parts, run_name, now), "own observation");
}

void stream_session::on_quarantine()
{
    if (!m_core.m_quarantine.quarantined(m_accepted.m_call.m_shared_parts, steady::now()) ||
        m_answer_began)
        return;
    m_quarantined = true;
    m_queue_timer.cancel();
    if (m_channel != nullptr)
        m_channel->close();
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
