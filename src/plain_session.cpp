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
constexpr std::chrono::milliseconds max_idle_once{500};
constexpr std::chrono::milliseconds max_idle_repeatable{30'000};

constexpr std::uint32_t max_tries = 4; // Including those that fail to connect.

// Responses to other calls that one attempt skips on a pooled connection.
constexpr int max_foreign_answers = 3;

// Time reserved before the caller's deadline for the response to reach the caller.
constexpr std::chrono::milliseconds end_margin{40};

// Retry-After of a 503 response: expected time until an endpoint has capacity again.
constexpr std::chrono::milliseconds plain_return{250};

} // namespace

plain_session::plain_session(router_core& core, http_exchange& exchange, accepted_call accepted)
    : m_core(core),
      m_exchange(exchange),
      m_accepted(std::move(accepted))
{
}

plain_session::~plain_session() = default;

asio::awaitable<void> plain_session::run()
{
    m_core.count_request(m_accepted.m_service);
    m_exchange.watch_client(
        [this]
        {
            m_gone = true;
            if (m_channel != nullptr)
                m_channel->close();
        });
    // After a pause or right after its start, a router may read requests of clients that have
    // already disconnected.
    if (m_exchange.client_has_left())
        co_return;
    // The call may last until its deadline or the route's timeout; refuses it if this router shuts
    // down before that.
    if (m_accepted.m_end > m_accepted.m_router_end)
        co_return co_await finish(attempt_end::not_run);
    for (;;)
    {
        m_endpoint = m_core.choose_endpoint(m_accepted.m_service, m_avoided);
        if (m_endpoint.empty() && !m_avoided.empty())
            m_endpoint = m_core.choose_endpoint(m_accepted.m_service, {});
        if (m_endpoint.empty())
            co_return co_await finish(m_may_have_run ? attempt_end::unknown : attempt_end::not_run);
        ++m_core.m_plain_calls[m_endpoint];
        const auto end = co_await attempt();
        if (--m_core.m_plain_calls[m_endpoint] == 0)
            m_core.m_plain_calls.erase(m_endpoint);
        m_channel.reset();
        m_avoided.insert(m_endpoint);
        if (m_gone)
            break;
        m_may_have_run = m_may_have_run || end != attempt_end::not_run;
        if (end == attempt_end::answered || !may_try_again(end))
        {
            // A refusal tells the caller that no endpoint ran the call, so it must not be sent if
            // an earlier attempt may have run it.
            const bool ran = end == attempt_end::not_run && m_may_have_run;
            co_return co_await finish(ran ? attempt_end::unknown : end);
        }
    }
}

bool plain_session::may_try_again(attempt_end end)
{
    if (m_tries >= max_tries || steady::now() + end_margin >= m_accepted.m_end)
        return false;
    // The route's limit counts sent calls only, so a failed connect is not charged to it.
    if (end == attempt_end::not_run && m_sends == 0)
        return true;
    if (end != attempt_end::not_run && !idempotent())
        return false;
    return m_sends < m_accepted.m_route.m_attempts && m_core.try_retry(m_accepted.m_service);
}

asio::awaitable<plain_session::attempt_end> plain_session::attempt()
{
    ++m_tries;
    const auto now = steady::now();
    const auto* record = m_core.find_endpoint(m_endpoint);
    const auto address = record->m_address;
    m_attempt_end = m_accepted.m_end - end_margin;
    // An idempotent call keeps 2/5 of the remaining time for further attempts.
    if (idempotent() && m_sends + 1 < m_accepted.m_route.m_attempts)
        m_attempt_end = std::min(m_attempt_end, now + (m_attempt_end - now) * 3 / 5);
    m_channel =
        m_core.m_channels.take(address, idempotent() ? max_idle_repeatable : max_idle_once, now);
    const bool reused = m_channel != nullptr;
    bool stale = false;
    auto end = co_await exchange_once(reused, stale);
    // If the pooled connection was closed, sends an idempotent call again on a new connection. The
    // endpoint may have received the first one, so this counts as a retry.
    if (stale && idempotent() && !m_gone && steady::now() < m_attempt_end &&
        m_core.try_retry(m_accepted.m_service))
    {
        m_channel.reset();
        end = co_await exchange_once(false, stale);
    }
    co_return end;
}

asio::awaitable<plain_session::attempt_end> plain_session::exchange_once(bool reused, bool& stale)
{
    stale = false;
    const auto* record = m_core.find_endpoint(m_endpoint);
    if (record == nullptr)
        co_return attempt_end::not_run;
    call_target target;
    target.m_endpoint = m_endpoint;
    target.m_address = record->m_address;
    target.m_account = m_accepted.m_account;
    if (!reused)
    {
        m_channel = m_core.m_channels.make();
        const auto status = co_await m_channel->connect(
            target.m_address, std::min(m_attempt_end, steady::now() + connect_deadline));
        if (!status.ok())
        {
            if (!m_gone)
                m_core.suspect(m_endpoint, message_of(status));
            co_return attempt_end::not_run;
        }
    }
    target.m_time_left = m_accepted.time_left(steady::now());
    const auto request = m_core.m_protocol.write_call(m_accepted.m_call, target);
    ++m_sends;
    log_event(log_level::info, "call_sent")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", m_tries)
        .with("endpoint", m_endpoint)
        .with("address", target.m_address)
        .with("kept_connection", reused)
        .with("time_left_ms", target.m_time_left.count());
    const auto sent = co_await m_channel->send(request, m_attempt_end);
    if (!sent.ok())
    {
        stale = reused;
        co_return attempt_end::unknown;
    }
    for (int foreign = 0; foreign <= max_foreign_answers; ++foreign)
    {
        auto response = co_await m_channel->read_head(m_attempt_end);
        if (!response.ok())
        {
            stale = reused && kind_of(response.status()) == failure_kind::endpoint_lost;
            co_return attempt_end::unknown;
        }
        absl::StatusOr<bool> more = true;
        while (more.ok() && *more)
            more = co_await m_channel->read_body(response->m_body, m_attempt_end);
        if (!more.ok())
            co_return attempt_end::unknown;
        auto head = m_core.m_protocol.read_answer(
            m_accepted.m_call, response->m_status, response->m_fields);
        // A late response to another call can arrive on a pooled connection; skips it.
        if (!head.m_own)
            continue;
        m_core.m_channels.put(std::move(m_channel), steady::now());
        if (head.m_not_run)
            co_return attempt_end::not_run;
        const bool success = head.m_status < 300;
        if (success && !head.m_signed)
            co_return attempt_end::unknown;
        m_answer =
            http_response{head.m_status, std::move(head.m_fields), std::move(response->m_body)};
        co_return head.m_status < 500 ? attempt_end::answered : attempt_end::failed;
    }
    co_return attempt_end::unknown;
}

asio::awaitable<void> plain_session::finish(attempt_end end)
{
    constexpr std::array names{"answered", "not_run", "unknown", "failed"};
    const auto now = steady::now();
    const auto outcome = names[static_cast<std::size_t>(end)];
    m_core.m_metrics
        .counter("fulmaryard_router_calls_total", fmt::format("outcome=\"{}\"", outcome))
        .add();
    m_core.m_metrics.histogram("fulmaryard_router_call_seconds").record(now - m_accepted.m_arrival);
    log_event(log_level::info, "call_ended")
        .with("request", m_accepted.m_call.m_id)
        .with("outcome", outcome)
        .with("endpoint", m_endpoint)
        .with("attempts", m_tries)
        .with("sends", m_sends)
        .with(
            "after_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_accepted.m_arrival)
                .count());
    http_response response;
    if (m_answer && end != attempt_end::not_run)
        response = *std::move(m_answer);
    else if (end == attempt_end::not_run)
        response = m_core.m_protocol.refusal(m_accepted.m_call, 503, plain_return);
    else
    {
        const bool late = now >= m_attempt_end;
        response = m_core.m_protocol.refusal(m_accepted.m_call, late ? 504 : 502, {});
    }
    std::ignore = co_await m_exchange.respond(std::move(response));
}

} // namespace fulmaryard
