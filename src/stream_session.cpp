#include "stream_session.hpp"
#include "router_streams.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
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

// Maximum number of attempts of any kind per request; bounds retries when many endpoints fail.
constexpr std::uint32_t max_attempts = 6;

// Maximum size of an event that is not complete yet, with what is read at once.
constexpr std::size_t max_event_bytes = 256 * 1024;

// Maximum number of responses to other requests that are skipped on a connection.
constexpr int max_mismatched_responses = 3;

// A request may wait in the queue for the latency objective divided by this value. The remaining
// time is for the prefill of a typical prompt before the first event.
constexpr int queueing_objective_divisor = 2;

// Maximum wait for the prefills of other requests if the request is already late. Callers
// disconnect after two seconds.
constexpr std::chrono::milliseconds late_prefill_wait{700};

// Maximum queueing time of a request that its caller retries after a refusal, or that this router
// retries or resumes. The caller has already waited.
constexpr std::chrono::milliseconds retry_queueing_time{1'000};

// Time reserved before the deadline for sending the response to the caller.
constexpr std::chrono::milliseconds response_margin{30};

// A new value has a weight of 1/8 in the moving average of the time between events. The load on a
// path changes its speed over about as many events.
constexpr int event_interval_window = 8;

// Typical number of tokens per event. Generated tokens are part of the prefill on another path.
constexpr double tokens_per_event = 3;

std::int64_t to_ms(steady::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns the size in bytes of the complete events at the start of `text`.
std::size_t complete_events_size(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view separator : {"\n\n", "\r\n\r\n"})
    {
        const auto at = text.rfind(separator);
        if (at != std::string_view::npos)
            end = std::max(end, at + separator.size());
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

} // namespace

stream_session::stream_session(router_core& core, http_exchange& exchange, accepted_call accepted)
    : m_core(core),
      m_exchange(exchange),
      m_accepted(std::move(accepted)),
      m_table(core.m_table),
      m_id(core.m_streams->add(*this)),
      m_queue_timer(exchange.executor()),
      m_last_event_id(m_accepted.m_call.m_resume_after),
      m_share(core.m_answer_memory)
{
    m_core.m_open_sessions.insert(this);
}

stream_session::~stream_session()
{
    m_core.m_open_sessions.erase(this);
    release_path();
    m_core.m_wait_queue.remove(m_id);
    m_core.m_streams->remove(m_id);
}

void stream_session::end()
{
    m_ended = true;
    m_queue_timer.cancel();
    if (m_channel != nullptr)
        m_channel->close();
}

const routed_service* stream_session::service() const
{
    return m_table->find_service(m_accepted.m_service);
}

const pipeline_engine* stream_session::engine() const
{
    const auto* routed = service();
    return routed != nullptr && routed->m_engine ? &*routed->m_engine : nullptr;
}

void stream_session::on_capacity()
{
    m_queue_timer.cancel();
}

void stream_session::abandon_attempt(std::string_view reason)
{
    if (m_channel == nullptr || m_abandoned || m_path.empty())
        return;
    // A silent endpoint may still recover, so the attempt is aborted only if another one may
    // follow.
    const bool can_retry =
        m_attempt_count < max_attempts && within_route_limit() && m_accepted.m_route.m_resumable;
    if (!can_retry || !m_core.try_retry(m_accepted.m_service))
        return;
    log_event(log_level::info, "attempt_abandoned")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("path", describe(m_path))
        .with("events", m_event_count)
        .with("silent_ms", to_ms(steady::now() - m_last_progress));
    m_abandoned = true;
    // Pooled connections to the same address may be stalled for the same reason.
    m_core.m_channels.close_idle(m_channel->address());
    m_channel->close();
}

void stream_session::on_repath(std::vector<path_hop> path)
{
    log_event(log_level::info, "stream_repathed")
        .with("request", m_accepted.m_call.m_id)
        .with("path", describe(path))
        .with("events", m_event_count);
    std::vector<path_hop> added;
    for (const auto& hop : path)
    {
        if (std::find(m_path.begin(), m_path.end(), hop) == m_path.end())
            added.push_back(hop);
    }
    release_path();
    set_path(std::move(path), std::move(added));
    m_last_progress = steady::now();
}

void stream_session::set_path(std::vector<path_hop> path, std::vector<path_hop> prefilling)
{
    m_path = std::move(path);
    m_prefilling = std::move(prefilling);
    m_prefill_tokens = context_tokens();
    m_core.m_reservations.take(m_path, m_tokens);
    m_core.m_reservations.begin_read(m_prefilling, m_prefill_tokens);
}

bool stream_session::may_outlast_router(const std::vector<path_hop>& path) const
{
    if (m_accepted.m_shutdown_deadline == time_point::max())
        return false;
    const double tokens = static_cast<double>(m_accepted.m_call.m_max_answer_tokens);
    if (tokens == 0)
        return m_accepted.m_end > m_accepted.m_shutdown_deadline; // No limit is known.
    const double max_duration_ms =
        2 * tokens *
            (m_core.path_decode_ms(*service(), path, 0) + static_cast<double>(path.size())) +
        static_cast<double>(late_prefill_wait.count());
    return steady::now() + std::chrono::milliseconds(static_cast<std::int64_t>(max_duration_ms)) >
           m_accepted.m_shutdown_deadline;
}

std::chrono::milliseconds stream_session::max_prefill_wait() const
{
    if (m_is_retry || m_responded || m_attempt_count > 0)
        return late_prefill_wait;
    return m_accepted.m_route.m_latency_objective / queueing_objective_divisor;
}

double stream_session::context_tokens() const
{
    return static_cast<double>(m_accepted.m_call.m_prompt_tokens) +
           static_cast<double>(m_event_count) * tokens_per_event;
}

void stream_session::record_event_interval(std::chrono::steady_clock::duration interval)
{
    m_max_event_interval = std::max(m_max_event_interval, interval);
    m_mean_event_interval =
        m_mean_event_interval == steady::duration::zero()
            ? interval
            : m_mean_event_interval + (interval - m_mean_event_interval) / event_interval_window;
}

void stream_session::record_progress(time_point now)
{
    if (m_last_event_time != time_point())
        record_event_interval(now - m_last_event_time);
    else
    {
        m_time_to_first_event = now - m_accepted.m_arrival;
        m_core.m_metrics.histogram("fulmaryard_router_first_event_seconds")
            .record(m_time_to_first_event);
    }
    m_last_event_time = now;
    m_last_progress = now;
    m_repath_count = 0;
    record_prefill_done();
}

void stream_session::record_prefill_done()
{
    m_core.m_reservations.on_read(m_prefilling, m_prefill_tokens);
    m_prefilling.clear();
}

void stream_session::release_path()
{
    if (m_path.empty())
        return;
    record_prefill_done();
    m_core.m_reservations.release(m_path, m_tokens);
    m_path.clear();
    if (!has_pipeline())
        return;
    m_core.m_wait_queue.on_released(m_tokens, steady::now());
    m_core.m_on_capacity();
}

asio::awaitable<void> stream_session::run()
{
    if (has_pipeline())
        m_tokens = router_core::expected_tokens(m_accepted.m_call, *engine());
    m_is_retry = m_core.m_streams->take_expected_retry(m_accepted);
    m_core.count_request(m_accepted.m_service);
    m_exchange.watch_for_disconnect(
        [this]
        {
            m_client_disconnected = true;
            if (m_channel != nullptr)
                m_channel->close();
            m_queue_timer.cancel();
        });
    const auto& parts = m_accepted.m_call.m_shared_parts;
    for (;;)
    {
        if (const auto wait = m_core.m_quarantine.admit(parts, steady::now(), m_core.m_owns_trial))
            co_return co_await refuse_quarantined(*wait);
        const bool reserved = co_await reserve_path();
        // After a pause or at its start, a router may read requests whose callers have
        // disconnected.
        m_client_disconnected = m_client_disconnected || m_exchange.client_disconnected();
        if (m_client_disconnected)
            co_return log_end("caller_left", "before the request was sent");
        if (m_quarantined || m_core.m_quarantine.quarantined(parts, steady::now()))
            co_return co_await refuse_quarantined(prompt_quarantine::initial_duration);
        if (!reserved)
        {
            if (m_history.may_have_run())
                co_return co_await fail_request("no path to resume the stream");
            co_return co_await refuse("no room");
        }
        const auto end = co_await attempt();
        const bool was_sent = end == attempt_outcome::broken || end == attempt_outcome::unreachable;
        if (was_sent && m_accepted.m_route.m_resumable && !m_client_disconnected && !m_ended &&
            !within_route_limit())
            co_await check_ended_runs();
        m_channel.reset();
        release_path();
        if (m_client_disconnected)
            co_return log_end("caller_left", "during an attempt");
        if (end == attempt_outcome::complete)
            co_return log_end("answered", "");
        if (end == attempt_outcome::error_relayed)
            co_return log_end("failed_by_endpoint", "");
        const auto denial = retry_denial(end);
        if (denial.empty())
            continue;
        // A refusal guarantees that nothing was executed.
        if (!m_history.may_have_run())
            co_return co_await refuse("refused by its endpoints", denial);
        co_return co_await fail_request("broken off", denial);
    }
}

std::string_view stream_session::retry_denial(attempt_outcome end)
{
    const auto now = steady::now();
    if (m_ended)
        return "shutdown";
    if (now + response_margin >= m_accepted.m_end)
        return "deadline";
    if (m_attempt_count >= max_attempts)
        return "attempts of any kind";
    if (m_quarantined ||
        (m_crashed && !m_core.m_quarantine.may_repeat(m_accepted.m_call.m_shared_parts, now)))
        return "quarantine";
    if (!m_accepted.m_route.m_resumable && m_history.may_have_run())
        return "may have run";
    if (!within_route_limit())
        return "route limit";
    if (end == attempt_outcome::unreachable)
        return "";
    // `abandon_attempt` has already charged this retry to the retry budget.
    return m_abandoned || m_core.try_retry(m_accepted.m_service) ? "" : "retry budget";
}

std::chrono::milliseconds stream_session::max_queueing_time() const
{
    if (m_is_retry || m_responded || m_attempt_count > 0)
        return retry_queueing_time;
    return m_accepted.m_route.m_latency_objective / queueing_objective_divisor;
}

asio::awaitable<bool> stream_session::reserve_endpoint()
{
    // The length of the stream is not known, so it may last until its deadline.
    if (m_accepted.m_end > m_accepted.m_shutdown_deadline)
        co_return false;
    auto avoided = m_excluded_first_endpoints;
    avoided.insert(m_refused_by.begin(), m_refused_by.end());
    const auto latest =
        std::min(steady::now() + max_queueing_time(), m_accepted.m_end - response_margin);
    while (!m_client_disconnected && !m_quarantined && !m_ended)
    {
        auto endpoint = m_core.choose_endpoint(m_accepted.m_service, avoided);
        if (endpoint.empty())
            endpoint = m_core.choose_endpoint(m_accepted.m_service, {});
        if (!endpoint.empty())
        {
            const path_hop hop{endpoint, m_core.find_endpoint(endpoint)->m_address, {}};
            set_path({hop}, {});
            co_return true;
        }
        const auto wanted = m_core.work_wanted_at(m_accepted.m_service);
        if (!wanted || *wanted > latest)
            co_return false;
        m_queue_timer.expires_at(*wanted + m_core.random_spread(latest - *wanted));
        co_await m_queue_timer.async_wait(use_tuple);
    }
    co_return false;
}

asio::awaitable<bool> stream_session::reserve_path()
{
    if (!has_pipeline())
        co_return co_await reserve_endpoint();
    const auto start = steady::now();
    const bool is_first_attempt = !m_responded && m_attempt_count == 0;
    wait_queue::waiting_request request{
        m_id, m_is_retry || !is_first_attempt, m_accepted.m_priority, m_tokens,
        std::min(start + max_queueing_time(), m_accepted.m_end - response_margin)};
    if (m_core.m_wait_queue.empty() || !is_first_attempt)
    {
        auto path = m_core.find_path(
            *service(), m_tokens, context_tokens(), max_prefill_wait(), m_excluded_first_endpoints);
        if (!path.empty() && may_outlast_router(path))
            co_return false;
        if (!path.empty())
        {
            m_core.charge_crossings(*service(), path, m_tokens);
            set_path(path, path);
            co_return true;
        }
    }
    if (m_accepted.m_shutdown_deadline != time_point::max())
        co_return false;
    if (m_ended || (is_first_attempt && !m_core.m_wait_queue.may_wait(request, start)))
        co_return false;
    if (const auto wanted = m_core.work_wanted_at(m_accepted.m_service);
        wanted && *wanted > request.m_latest_start)
        co_return false; // No endpoint takes requests before then.
    m_core.m_wait_queue.add(request);
    m_core.m_metrics.counter("fulmaryard_router_queued_total").add();
    log_event(log_level::info, "request_queued")
        .with("request", m_accepted.m_call.m_id)
        .with("waiting", m_core.m_wait_queue.size())
        .with("tokens", m_tokens)
        .with("returning", m_is_retry)
        .with("priority", m_accepted.m_priority);
    while (!m_client_disconnected && !m_quarantined && !m_ended &&
           steady::now() < request.m_latest_start)
    {
        m_queue_timer.expires_at(request.m_latest_start);
        co_await m_queue_timer.async_wait(use_tuple);
        if (m_client_disconnected || m_quarantined || m_ended || m_core.m_wait_queue.next() != m_id)
            continue;
        auto path = m_core.find_path(
            *service(), m_tokens, context_tokens(), max_prefill_wait(), m_excluded_first_endpoints);
        if (path.empty())
            continue;
        m_core.m_wait_queue.remove(m_id);
        m_core.charge_crossings(*service(), path, m_tokens);
        set_path(path, path);
        m_core.m_on_capacity(); // The next request in the queue may fit as well.
        co_return true;
    }
    m_core.m_wait_queue.remove(m_id);
    m_core.m_on_capacity();
    co_return false;
}

asio::awaitable<std::optional<stream_session::attempt_outcome>>
stream_session::open_channel(bool& reused)
{
    const auto now = steady::now();
    const auto address = m_path.front().m_address;
    const auto max_idle =
        m_accepted.m_route.m_resumable ? max_idle_resumable : max_idle_non_resumable;
    m_channel = reused ? m_core.m_channels.take(address, max_idle, now) : nullptr;
    reused = m_channel != nullptr;
    if (reused)
        co_return std::nullopt;
    m_channel = m_core.m_channels.create();
    const auto status = co_await m_channel->connect(address, now + connect_deadline);
    if (status.ok())
        co_return std::nullopt;
    if (!m_client_disconnected && !m_abandoned && !m_quarantined && !m_ended)
        m_core.suspect_after(m_path.front().m_endpoint, status);
    log_event(log_level::info, "attempt_unreachable")
        .with("request", m_accepted.m_call.m_id)
        .with("first", m_path.front().m_endpoint)
        .with("reason", message_of(status));
    co_return attempt_outcome::unreachable;
}

asio::awaitable<stream_session::attempt_outcome> stream_session::attempt()
{
    ++m_attempt_count;
    m_attempt_events = 0;
    m_answer_counted = false;
    m_crashed = false;
    m_answer_began = false;
    m_abandoned = false;
    m_repath_count = 0;
    m_sent = steady::now();
    m_last_progress = m_sent;
    const auto first = m_path.front().m_endpoint;
    m_last_first_endpoint = first;
    const auto* record = m_core.find_endpoint(first);
    const auto started_ms = record == nullptr ? 0 : record->m_started_ms;
    const endpoint_run run{first, started_ms, m_path.front().m_address};
    call_target target;
    target.m_endpoint = first;
    target.m_address = m_path.front().m_address;
    if (has_pipeline())
        target.m_path = m_path;
    target.m_account = m_accepted.m_account;
    target.m_time_left = m_accepted.time_left(m_sent);
    target.m_resume_after = m_last_event_id;
    target.m_urgency = std::min<std::uint32_t>(m_accepted.m_priority, 9);
    const auto request = m_core.m_protocol.write_call(m_accepted.m_call, target);
    log_event(log_level::info, "request_placed")
        .with("request", m_accepted.m_call.m_id)
        .with("attempt", m_attempt_count)
        .with("path", describe(m_path))
        .with("tokens", m_tokens)
        .with("token_ms", has_pipeline() ? m_core.path_decode_ms(*service(), m_path, 0) : 0)
        .with("after_event", m_last_event_id.value_or(0))
        .with("priority", m_accepted.m_priority)
        .with("version", m_table->version())
        .with("time_left_ms", target.m_time_left.count());
    absl::StatusOr<http_response> response = http_response{};
    // The endpoint may have closed a reused connection. A request that may run again is then sent
    // over a new connection. The endpoint may have received it, so this counts as a retry.
    // A faulty endpoint may write its refusal of this call again on the connection of that refusal.
    for (bool reused = !m_refused_by.contains(first);;)
    {
        if (const auto failed = co_await open_channel(reused))
            co_return *failed;
        // The endpoint may have said meanwhile that it wants no more requests.
        if (!m_core.may_send(first))
        {
            m_core.m_channels.put(std::move(m_channel), steady::now());
            co_return attempt_outcome::unreachable;
        }
        m_history.on_sent(run);
        auto status = co_await m_channel->send(request, m_accepted.m_end);
        if (status.ok())
            response = co_await m_channel->read_head(m_accepted.m_end);
        else
            response = status;
        if (response.ok() || !reused || !m_accepted.m_route.m_resumable || m_client_disconnected ||
            m_abandoned || m_quarantined || m_ended || !m_core.try_retry(m_accepted.m_service))
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
        m_core.note_answer(first, started_ms, response->m_status, response->m_fields);
        head = m_core.m_protocol.read_answer(
            m_accepted.m_call, response->m_status, response->m_fields);
        if (head.m_matches_call || mismatched == max_mismatched_responses)
            break;
        const auto skipped = co_await m_channel->skip_body(m_accepted.m_end);
        if (!skipped.ok())
            response = skipped;
        else
            response = co_await m_channel->read_head(m_accepted.m_end);
    }
    if (!response.ok() || !head.m_matches_call)
    {
        co_return break_off_attempt(
            response.ok() ? "responses to other requests" : message_of(response.status()));
    }
    if (head.m_not_run)
    {
        const auto* at_fault = m_core.find_endpoint_at(head.m_refused_by);
        const auto refused_by = at_fault != nullptr ? at_fault->m_id : first;
        m_core.m_refusals.on_refused(refused_by, steady::now());
        m_refused_by.insert(first);
        // After a refused attempt to resume a stream, the caller still waits for the rest of the
        // response. It does not count toward the route's limit.
        m_history.on_refused(run, !m_responded);
        log_event(log_level::info, "attempt_refused")
            .with("request", m_accepted.m_call.m_id)
            .with("status", head.m_status)
            .with("endpoint", refused_by)
            .with("path", describe(m_path));
        m_core.m_metrics.counter("fulmaryard_router_refused_attempts_total").add();
        // Reads the body so that the connection can be reused.
        co_await relay_failure(std::move(head));
        co_return attempt_outcome::not_run;
    }
    if (head.m_status < 200 || head.m_status >= 300 || !head.m_signed)
        co_return co_await relay_failure(std::move(head));
    m_answer_began = true;
    for (const auto& hop : m_path)
        m_core.m_refusals.on_accepted(hop.m_endpoint);
    const auto end = co_await relay_events(std::move(head));
    count_attempt_events(0, end == attempt_outcome::complete);
    if (end == attempt_outcome::broken && !m_answer_counted && !m_abandoned && !m_ended &&
        !m_client_disconnected)
        co_await check_for_crash(started_ms);
    co_return end;
}

asio::awaitable<stream_session::attempt_outcome> stream_session::relay_failure(answer_head head)
{
    const bool should_retry =
        head.m_status >= 500 && m_accepted.m_route.m_resumable && within_route_limit();
    const bool passed_on =
        !head.m_not_run && !m_responded && !should_retry && (head.m_status >= 300 || head.m_signed);
    std::string body;
    // A body that is not passed on is read so that the connection can be reused.
    absl::Status read;
    if (passed_on)
        read = co_await read_whole_body(body);
    else
        read = co_await m_channel->skip_body(m_accepted.m_end);
    if (!read.ok())
        co_return attempt_outcome::broken;
    m_core.m_channels.put(std::move(m_channel), steady::now());
    if (head.m_not_run)
        co_return attempt_outcome::not_run;
    m_excluded_first_endpoints.insert(m_path.front().m_endpoint);
    if (!passed_on)
        co_return attempt_outcome::broken;
    http_response answer{head.m_status, std::move(head.m_fields), std::move(body)};
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(answer));
    co_return attempt_outcome::error_relayed;
}

asio::awaitable<absl::Status> stream_session::read_whole_body(std::string& body)
{
    absl::StatusOr<bool> more = true;
    while (more.ok() && *more)
    {
        more = co_await m_channel->read_body(
            body, m_accepted.m_end,
            std::min(endpoint_channel::max_body_bytes, m_share.max_bytes()));
        m_share.hold(body.size());
    }
    co_return more.status();
}

asio::awaitable<stream_session::attempt_outcome> stream_session::relay_events(answer_head head)
{
    std::string text;
    for (absl::StatusOr<bool> more = true; *more;)
    {
        more = co_await m_channel->read_body(
            text, m_accepted.m_end, std::min(max_event_bytes, m_share.max_bytes()));
        const auto size = complete_events_size(text);
        std::string passed;
        // Only numbered events are progress: a stalled endpoint may still send comments.
        bool has_progress = false;
        for_each_event(
            std::string_view(text).substr(0, size),
            [&](std::string_view event)
            {
                const auto number = m_core.m_protocol.event_id(event);
                // A resumed stream may begin with events that the caller has already received.
                if (number && m_last_event_id && *number <= *m_last_event_id)
                    return;
                if (number)
                {
                    m_last_event_id = number;
                    has_progress = true;
                    ++m_event_count;
                    count_attempt_events(1, false);
                }
                passed += event;
            });
        text.erase(0, size);
        m_share.hold(text.size() + passed.size());
        if (!passed.empty() && !m_client_disconnected)
        {
            if (has_progress)
                record_progress(steady::now());
            if (!m_responded)
            {
                m_responded = true;
                http_response begin{head.m_status, std::move(head.m_fields), {}};
                const auto status = co_await m_exchange.begin_chunked(std::move(begin));
                m_client_disconnected = m_client_disconnected || !status.ok();
            }
            const auto status = co_await m_exchange.send_chunk(passed);
            m_client_disconnected = m_client_disconnected || !status.ok();
        }
        if (m_client_disconnected)
            co_return attempt_outcome::broken;
        if (!more.ok())
            co_return break_off_attempt(message_of(more.status()));
    }
    // A response without a length may have been truncated within an event.
    if (!text.empty())
        co_return break_off_attempt("the answer ends within an event");
    if (m_attempt_events == 0 && m_channel->ends_with_connection())
        co_return break_off_attempt("the answer ends before an event");
    m_core.m_channels.put(std::move(m_channel), steady::now());
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

bool stream_session::within_route_limit() const
{
    return m_history.count() < m_accepted.m_route.m_max_attempts;
}

asio::awaitable<void> stream_session::check_ended_runs()
{
    for (const auto& run : m_history.counted())
    {
        if (m_ended)
            co_return;
        if (co_await m_core.check_ended(run))
            m_history.on_ended(run);
    }
}

stream_session::attempt_outcome stream_session::break_off_attempt(std::string_view reason)
{
    m_excluded_first_endpoints.insert(m_path.front().m_endpoint);
    log_event(log_level::info, "attempt_broken")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("path", describe(m_path))
        .with("events", m_event_count)
        .with("answer_began", m_answer_began)
        .with("shared_parts", fmt::format("{}", fmt::join(m_accepted.m_call.m_shared_parts, ",")))
        .with("caller_left", m_client_disconnected);
    return attempt_outcome::broken;
}

asio::awaitable<void> stream_session::refuse(std::string_view reason, std::string_view denial)
{
    const auto now = steady::now();
    std::chrono::milliseconds retry_after{0};
    if (has_pipeline())
    {
        retry_after = m_core.m_wait_queue.assign_retry_after(m_tokens, now);
        // The endpoints' own time comes first; the queue spreads the callers behind it.
        if (const auto wanted = m_core.work_wanted_at(m_accepted.m_service))
            retry_after += std::chrono::duration_cast<std::chrono::milliseconds>(*wanted - now);
    }
    else
        retry_after = m_core.retry_after(m_accepted.m_service);
    m_core.m_streams->add_expected_retry(m_accepted, now + retry_after);
    m_core.m_metrics.counter("fulmaryard_router_refusals_total").add();
    log_event(log_level::info, "request_refused")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("no_retry", denial)
        .with("tokens", m_tokens)
        .with("waiting", m_core.m_wait_queue.size())
        .with("returning", m_is_retry)
        .with("retry_after_ms", retry_after.count())
        .with("held_ms", to_ms(now - m_accepted.m_arrival));
    auto response = m_core.m_protocol.refusal(m_accepted.m_call, 503, retry_after);
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(response));
}

asio::awaitable<void> stream_session::fail_request(std::string_view reason, std::string_view denial)
{
    log_end("broken_off", reason, denial);
    if (m_responded)
    {
        m_exchange.abort_connection();
        co_return;
    }
    auto response = m_core.m_protocol.refusal(
        m_accepted.m_call, steady::now() >= m_accepted.m_end ? 504 : 502, {});
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(response));
}

void stream_session::log_end(
    std::string_view outcome, std::string_view reason, std::string_view denial)
{
    const auto now = steady::now();
    m_core.m_metrics
        .counter("fulmaryard_router_streams_total", fmt::format("outcome=\"{}\"", outcome))
        .add();
    log_event(log_level::info, "stream_ended")
        .with("request", m_accepted.m_call.m_id)
        .with("outcome", outcome)
        .with("reason", reason)
        .with("no_retry", denial)
        .with("events", m_event_count)
        .with("attempts", m_attempt_count)
        .with("first", m_last_first_endpoint)
        .with("tokens", m_tokens)
        .with("first_event_ms", to_ms(m_time_to_first_event))
        .with("longest_pause_ms", to_ms(m_max_event_interval))
        .with("after_ms", to_ms(now - m_accepted.m_arrival));
}

} // namespace fulmaryard
