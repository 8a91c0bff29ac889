#include "stream_session.hpp"
#include "router_streams.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/stop_admission.hpp>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// Maximum number of attempts of any kind per request; bounds retries when many endpoints fail.
constexpr std::uint32_t max_attempts = 6;

// A request may wait in the queue for the latency objective divided by this value. The remaining
// time is for the prefill of a typical prompt before the first event.
constexpr int queueing_objective_divisor = 2;

// Maximum wait for the prefills of other requests if the request is already late. Callers
// disconnect after two seconds.
constexpr std::chrono::milliseconds late_prefill_wait{700};

// Maximum queueing time of a request that its caller retries after a refusal, or that this router
// retries or resumes. The caller has already waited.
constexpr std::chrono::milliseconds retry_queueing_time{1'000};

// Time between two questions to the rate limits of endpoints for a stream that its caller is
// reading.
constexpr std::chrono::milliseconds limit_draw_interval{100};

// Time between two searches of a path for a takeover. Others take a stream over or refuse it within
// a few milliseconds, and room may become free.
constexpr std::chrono::milliseconds takeover_interval{200};

// Share of the memory of endpoints that a second attempt for a late first event leaves free.
constexpr double hedge_kept_share = 0.25;

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

} // namespace

stream_session::stream_session(router_core& core, http_exchange& exchange, accepted_call accepted)
    : m_core(core),
      m_exchange(exchange),
      m_accepted(std::move(accepted)),
      m_table(core.m_table),
      m_id(core.m_streams->add(*this)),
      m_queue_timer(exchange.executor()),
      m_attempt_timer(exchange.executor(), time_point::max()),
      m_last_event_id(m_accepted.m_call.m_resume_after),
      m_held_share(core.m_answer_memory)
{
    m_core.m_open_sessions.insert(this);
}

stream_session::~stream_session()
{
    m_core.m_open_sessions.erase(this);
    m_core.m_wait_queue.remove(m_id);
    m_core.m_streams->remove(m_id);
}

void stream_session::end()
{
    m_ended = true;
    m_queue_timer.cancel();
    close_attempts();
}

void stream_session::close_attempts()
{
    for (const auto& attempt : m_attempts)
        attempt->close();
}

const std::vector<path_hop>& stream_session::path() const
{
    static const std::vector<path_hop> none;
    return m_leader == nullptr ? none : m_leader->m_path;
}

std::uint32_t stream_session::attempt_number() const
{
    return m_leader == nullptr ? 0 : m_leader->m_number;
}

bool stream_session::running() const
{
    return m_leader != nullptr && m_leader->running() && m_leader->m_channel != nullptr &&
           !m_leader->m_answer_read;
}

bool stream_session::stopped(const stream_attempt& attempt) const
{
    return attempt.m_closed || m_client_disconnected || m_ended;
}

bool stream_session::others_run(const stream_attempt& attempt) const
{
    return std::any_of(
        m_attempts.begin(), m_attempts.end(),
        [&](const auto& other) { return other.get() != &attempt && other->running(); });
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

bool stream_session::may_start_takeover(time_point now) const
{
    if (!running() || m_is_sending || taking_over() || now < m_next_takeover ||
        now + response_margin >= m_accepted.m_end || !m_accepted.m_route.m_resumable ||
        m_attempt_count + 1 >= max_attempts || !within_route_limit())
        return false; // One attempt is kept for the case that the running one breaks off.
    // If this process was held up, the endpoint is not silent: its events wait to be read.
    return !m_leader->m_channel->has_unread_bytes();
}

void stream_session::start_takeover(std::string_view reason)
{
    const auto now = steady::now();
    if (!may_start_takeover(now))
        return;
    m_next_takeover = now + takeover_interval;
    if (quarantined(now))
        return;
    auto avoided = m_excluded_first_endpoints;
    avoided.insert(m_refused_by.begin(), m_refused_by.end());
    avoided.insert(m_leader->m_run.m_endpoint);
    auto path = find_free_path(avoided);
    if (path.empty() || !m_core.try_retry(m_accepted.m_service))
        return;
    m_core.m_metrics.counter("fulmaryard_router_takeovers_total").add();
    log_event(log_level::info, "takeover_started")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("from", describe(m_leader->m_path))
        .with("events", m_event_count)
        .with("silent_ms", to_ms(now - m_last_progress));
    start_attempt(std::move(path));
}

void stream_session::start_hedge_if_late(time_point now)
{
    if (m_hedged || m_event_count > 0 || !has_pipeline() || !m_core.m_hedges.enabled())
        return;
    const auto delay = m_core.m_hedges.delay(route_key());
    if (!delay || now < m_accepted.m_arrival + *delay || !may_start_takeover(now))
        return;
    m_hedged = true;
    if (!m_core.m_wait_queue.empty())
        return m_core.deny_hedge("stream", "requests_wait");
    auto avoided = m_excluded_first_endpoints;
    for (const auto& hop : m_leader->m_path)
        avoided.insert(hop.m_endpoint);
    limit_draws spare{m_draws.m_rank, true};
    const auto path = m_core.find_path(
        *service(), m_tokens, context_tokens(), max_prefill_wait(), avoided, spare,
        hedge_kept_share);
    if (path.empty())
        return m_core.deny_hedge("stream", "no_path");
    if (quarantined(now))
        return m_core.deny_hedge("stream", "quarantine");
    if (!m_core.try_hedge(m_accepted.m_service, "stream"))
        return;
    log_event(log_level::info, "stream_hedged")
        .with("request", m_accepted.m_call.m_id)
        .with("from", describe(m_leader->m_path))
        .with("to", describe(path))
        .with("after_ms", to_ms(now - m_accepted.m_arrival));
    start_attempt(path);
    m_attempts.back()->m_is_hedge = true;
}

void stream_session::start_attempt(std::vector<path_hop> path)
{
    const auto now = steady::now();
    auto& attempt =
        *m_attempts.emplace_back(std::make_unique<stream_attempt>(m_core.m_answer_memory));
    attempt.m_number = ++m_attempt_count;
    attempt.m_start = now;
    if (m_attempt_count == 1)
        m_plan = plan_answer(path);
    const auto& first = path.front();
    const auto* record = m_core.find_endpoint(first.m_endpoint);
    attempt.m_run = {
        first.m_endpoint, record == nullptr ? 0 : record->m_started_ms, first.m_address};
    if (has_pipeline())
        m_core.charge_crossings(*service(), path, m_tokens);
    set_path(attempt, path, has_pipeline() ? path : std::vector<path_hop>{});
    if (m_leader == nullptr)
    {
        m_leader = &attempt;
        m_last_first_endpoint = first.m_endpoint;
        m_last_progress = now;
        m_repath_count = 0;
    }
    asio::co_spawn(
        m_exchange.executor(), run_attempt(attempt),
        [this, &attempt](const std::exception_ptr& failure, attempt_outcome outcome)
        {
            attempt.m_failure = failure;
            attempt.m_outcome = outcome;
            m_attempt_timer.cancel();
        });
}

asio::awaitable<stream_session::attempt_outcome> stream_session::finish_attempts()
{
    const auto is_final = [](attempt_outcome outcome)
    { return outcome == attempt_outcome::complete || outcome == attempt_outcome::error_relayed; };
    auto end = attempt_outcome::broken;
    std::exception_ptr failure;
    m_crash_causes.clear();
    while (!m_attempts.empty())
    {
        const auto ended = std::find_if(
            m_attempts.begin(), m_attempts.end(),
            [](const auto& attempt) { return attempt->m_outcome.has_value(); });
        if (ended == m_attempts.end())
        {
            co_await m_attempt_timer.async_wait(use_tuple);
            continue;
        }
        const auto& attempt = **ended;
        if (attempt.m_failure)
        {
            failure = attempt.m_failure;
            close_attempts();
        }
        else if (is_final(*attempt.m_outcome))
        {
            // Whatever another attempt relays would follow the end of the response.
            end = *attempt.m_outcome;
            close_attempts();
        }
        else if (!attempt.m_closed && !is_final(end))
            end = *attempt.m_outcome;
        if (!attempt.m_crash_causes.empty())
            m_crash_causes = attempt.m_crash_causes;
        remove_attempt(static_cast<std::size_t>(ended - m_attempts.begin()));
    }
    if (failure)
        std::rethrow_exception(failure);
    co_return end;
}

void stream_session::remove_attempt(std::size_t index)
{
    const auto attempt = std::move(m_attempts[index]);
    m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(index));
    release_path(*attempt);
    if (m_leader != attempt.get())
        return;
    m_leader = m_attempts.empty() ? nullptr : m_attempts.front().get();
    if (m_leader == nullptr)
        return;
    m_last_first_endpoint = m_leader->m_run.m_endpoint;
    m_last_progress = std::max(m_last_progress, m_leader->m_start);
}

void stream_session::on_repath(
    std::uint32_t attempt_number, std::vector<path_hop> path, stream_move move)
{
    if (!running() || m_leader->m_number != attempt_number)
        return;
    // A stream that moves again has waited since its last event.
    if (m_move)
        move.m_silence += move.m_accepted - m_move->m_accepted;
    m_move = move;
    log_event(log_level::info, "stream_repathed")
        .with("request", m_accepted.m_call.m_id)
        .with("path", describe(path))
        .with("silent_ms", to_ms(move.m_silence))
        .with("order_ms", to_ms(move.m_order))
        .with("events", m_event_count);
    const auto& before = m_leader->m_path;
    std::vector<path_hop> added;
    for (const auto& hop : path)
    {
        if (std::find(before.begin(), before.end(), hop) == before.end())
            added.push_back(hop);
    }
    release_path(*m_leader);
    set_path(*m_leader, std::move(path), std::move(added));
    m_last_progress = steady::now();
}

void stream_session::set_path(
    stream_attempt& attempt, std::vector<path_hop> path, std::vector<path_hop> prefilling)
{
    attempt.m_path = std::move(path);
    attempt.m_prefilling = std::move(prefilling);
    attempt.m_prefill_tokens = context_tokens();
    m_core.m_reservations.take(attempt.m_path, m_tokens);
    m_core.m_reservations.begin_read(attempt.m_prefilling, attempt.m_prefill_tokens);
}

std::vector<path_hop> stream_session::find_free_path(const std::set<std::string>& avoided)
{
    std::vector<path_hop> path;
    if (has_pipeline())
    {
        path = m_core.find_path(
            *service(), m_tokens, context_tokens(), max_prefill_wait(), avoided, m_draws,
            kept_share());
    }
    else if (const auto id = m_core.choose_endpoint(m_accepted.m_service, avoided, m_draws);
             !id.empty())
        path = {path_hop{id, m_core.find_endpoint(id)->m_address, {}}};
    if (!path.empty() && may_outlast_router(path))
        path.clear();
    return path;
}

double stream_session::urgent_tokens_per_second() const
{
    return m_core.m_rank_demand[m_accepted.m_service].own_rate_above(
        m_accepted.m_rank.value(), steady::now());
}

double stream_session::kept_share() const
{
    return m_responded ? 0 : m_core.kept_share(*service(), m_accepted.m_rank.value());
}

bool stream_session::may_outlast_router(const std::vector<path_hop>& path)
{
    // A stream that was taken is never ended sooner than the process.
    if (m_accepted.m_shutdown_deadline == time_point::max() || m_attempt_count > 0)
        return false;
    const auto now = steady::now();
    const auto expected = expected_duration(path);
    m_outlasts_router = m_accepted.m_end > m_accepted.m_shutdown_deadline &&
                        (!expected || now + expected->m_duration > m_accepted.m_shutdown_deadline);
    if (m_outlasts_router)
        m_core.m_metrics.counter("fulmaryard_router_stop_refusals_total").add();
    log_event(
        log_level::info, m_outlasts_router ? "stream_outlasts_router" : "stream_taken_at_stop")
        .with("request", m_accepted.m_call.m_id)
        .with("deadline_ms", to_ms(m_accepted.m_end - now))
        .with("expected_ms", expected ? expected->m_duration.count() : 0)
        .with("answers", expected ? expected->m_observations : 0)
        .with("routers_staying", m_core.m_presence.staying())
        .with("left_ms", to_ms(m_accepted.m_shutdown_deadline - now));
    return m_outlasts_router;
}

stream_durations::plan stream_session::plan_answer(const std::vector<path_hop>& path) const
{
    const auto& call = m_accepted.m_call;
    auto tokens = static_cast<double>(call.m_expected_answer_tokens);
    if (tokens == 0)
        tokens = static_cast<double>(call.m_max_answer_tokens);
    stream_durations::plan plan;
    if (has_pipeline())
    {
        if (tokens == 0)
            tokens = engine()->m_mean_response_tokens;
        plan.m_token_ms =
            m_core.path_decode_ms(*service(), path, 0) + static_cast<double>(path.size());
    }
    plan.m_tokens = std::max(tokens, 1.0);
    return plan;
}

std::optional<duration_estimate>
stream_session::expected_duration(const std::vector<path_hop>& path) const
{
    const auto now = steady::now();
    const auto& call = m_accepted.m_call;
    stopping_stream stream{route_key(), service_key(), plan_answer(path), has_pipeline()};
    stream.m_max_tokens = static_cast<double>(call.m_max_answer_tokens);
    stream.m_estimated_tokens = static_cast<double>(call.m_expected_answer_tokens);
    if (stream.m_estimated_tokens == 0 && has_pipeline())
        stream.m_estimated_tokens = engine()->m_mean_response_tokens;
    const bool arrivals_end =
        !m_core.m_drain_start || now >= *m_core.m_drain_start + router_core::min_drain_time;
    return stop_admission::expected_duration(
        m_core.m_stream_durations, stream, arrivals_end,
        m_core.m_presence.most_stay_in(m_core.m_settings.m_failure_domain), now);
}

std::string stream_session::route_key() const
{
    // A caller's estimate says more of an answer than the most that it permits.
    return m_accepted.m_route.m_host + m_accepted.m_route.m_path_prefix +
           (m_accepted.m_call.m_expected_answer_tokens > 0 ? " estimated" : "");
}

std::string stream_session::service_key() const
{
    return "service " + m_accepted.m_service +
           (m_accepted.m_call.m_expected_answer_tokens > 0 ? " estimated" : "");
}

void stream_session::record_answered()
{
    // A stream that its caller resumed has only a part of its answer.
    if (m_accepted.m_call.m_resume_after)
        return;
    for (const auto& key : {route_key(), service_key()})
    {
        m_core.m_stream_durations.on_answered(
            key, m_plan, m_accepted.m_arrival, m_time_to_first_event, steady::now());
    }
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
        m_core.m_hedges.on_answer(route_key(), m_time_to_first_event);
        if (m_hedged && m_attempt_count > 1)
            m_core.count_hedge_end("stream", m_leader->m_is_hedge);
        m_core.m_metrics.histogram("fulmaryard_router_first_event_seconds")
            .record(m_time_to_first_event);
    }
    record_move(now);
    m_last_event_time = now;
    m_last_progress = now;
    m_repath_count = 0;
    record_prefill_done(*m_leader);
}

void stream_session::record_move(time_point now)
{
    if (!m_move)
        return;
    const std::pair<std::string_view, steady::duration> parts[] = {
        {"silence", m_move->m_silence},
        {"order", m_move->m_order},
        {"prefill", now - m_move->m_accepted}};
    auto event = log_event(log_level::info, "stream_moved");
    event.with("request", m_accepted.m_call.m_id);
    for (const auto& [part, duration] : parts)
    {
        m_core.m_metrics
            .histogram("fulmaryard_router_move_seconds", fmt::format("part=\"{}\"", part))
            .record(duration);
        event.with(part, to_ms(duration));
    }
    if (m_event_count > 0 && m_last_event_time != time_point())
        event.with("pause", to_ms(now - m_last_event_time));
    m_move.reset();
}

void stream_session::record_prefill_done(stream_attempt& attempt)
{
    m_core.m_reservations.on_read(attempt.m_prefilling, attempt.m_prefill_tokens);
    attempt.m_prefilling.clear();
}

void stream_session::release_path(stream_attempt& attempt)
{
    if (attempt.m_path.empty())
        return;
    record_prefill_done(attempt);
    m_core.m_reservations.release(attempt.m_path, m_tokens);
    attempt.m_path.clear();
    if (!has_pipeline())
        return;
    m_core.m_wait_queue.on_released(
        m_tokens, steady::now(), m_core.has_rate_limit(attempt.m_run.m_endpoint));
    m_core.m_on_capacity();
}

asio::awaitable<void> stream_session::run()
{
    if (has_pipeline())
    {
        m_tokens = router_core::expected_tokens(m_accepted.m_call, *engine());
        m_core.m_rank_demand[m_accepted.m_service].on_arrival(
            m_accepted.m_rank.value(), m_tokens, steady::now());
    }
    m_is_retry = m_core.m_streams->take_expected_retry(m_accepted);
    m_draws.m_rank = limit_draws::rank_of(m_accepted.m_rank, m_is_retry);
    m_core.count_request(m_accepted.m_service);
    m_exchange.watch_for_disconnect(
        [this]
        {
            m_client_disconnected = true;
            close_attempts();
            m_queue_timer.cancel();
        });
    for (;;)
    {
        const auto parts = m_suspects.known_to(m_core.m_quarantine);
        if (const auto wait = m_core.m_quarantine.admit(parts, steady::now(), m_core.m_owns_trial))
            co_return co_await refuse_quarantined(*wait);
        // A stream that its caller is reading goes before all requests.
        m_draws.m_granted.clear();
        if (m_responded)
            m_draws.m_rank = 0;
        auto path = co_await wait_for_path();
        // After a pause or at its start, a router may read requests whose callers have
        // disconnected.
        m_client_disconnected = m_client_disconnected || m_exchange.client_disconnected();
        if (m_client_disconnected)
            co_return log_end("caller_left", "before the request was sent");
        if (m_quarantined || quarantined(steady::now()))
            co_return co_await refuse_quarantined(prompt_quarantine::initial_duration);
        if (path.empty())
        {
            if (m_history.may_have_run())
                co_return co_await fail_request("no path to resume the stream");
            co_return co_await refuse(m_outlasts_router ? "stop" : "no room");
        }
        start_attempt(std::move(path));
        const auto end = co_await finish_attempts();
        // A caller may disconnect as soon as it has the whole answer.
        if (end == attempt_outcome::complete)
        {
            record_answered();
            co_return log_end("answered", "");
        }
        if (end == attempt_outcome::error_relayed)
            co_return log_end("failed_by_endpoint", "");
        const bool was_sent = end == attempt_outcome::broken || end == attempt_outcome::unreachable;
        if (was_sent && m_accepted.m_route.m_resumable && !m_client_disconnected && !m_ended &&
            !within_route_limit())
            co_await check_ended_runs();
        if (m_client_disconnected)
            co_return log_end("caller_left", "during an attempt");
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
    if (m_quarantined || !m_core.m_quarantine.may_repeat(m_crash_causes, now))
        return "quarantine";
    if (!m_accepted.m_route.m_resumable && m_history.may_have_run())
        return "may have run";
    if (!within_route_limit())
        return "route limit";
    if (end == attempt_outcome::unreachable)
        return "";
    return m_core.try_retry(m_accepted.m_service) ? "" : "retry budget";
}

std::chrono::milliseconds stream_session::max_queueing_time() const
{
    if (m_is_retry || m_responded || m_attempt_count > 0)
        return retry_queueing_time;
    return m_accepted.m_route.m_latency_objective / queueing_objective_divisor;
}

asio::awaitable<std::vector<path_hop>> stream_session::wait_for_endpoint()
{
    auto avoided = m_excluded_first_endpoints;
    avoided.insert(m_refused_by.begin(), m_refused_by.end());
    const auto latest =
        std::min(steady::now() + max_queueing_time(), m_accepted.m_end - response_margin);
    while (!m_client_disconnected && !m_quarantined && !m_ended)
    {
        auto path = find_free_path(avoided);
        if (path.empty() && !m_outlasts_router)
            path = find_free_path({});
        if (!path.empty())
            co_return path;
        if (m_responded && m_core.denied_by_limits(m_accepted.m_service, m_draws) &&
            steady::now() + limit_draw_interval <= latest)
        {
            m_draws.m_granted.clear();
            m_queue_timer.expires_after(limit_draw_interval);
            co_await m_queue_timer.async_wait(use_tuple);
            continue;
        }
        const auto wanted = m_core.work_wanted_at(m_accepted.m_service);
        if (!wanted || *wanted > latest || m_outlasts_router)
            break;
        m_queue_timer.expires_at(*wanted + m_core.random_spread(latest - *wanted));
        co_await m_queue_timer.async_wait(use_tuple);
    }
    co_return std::vector<path_hop>{};
}

asio::awaitable<std::vector<path_hop>> stream_session::wait_for_path()
{
    if (!has_pipeline())
        co_return co_await wait_for_endpoint();
    const std::vector<path_hop> none;
    const auto start = steady::now();
    const bool is_first_attempt = !m_responded && m_attempt_count == 0;
    wait_queue::waiting_request request{
        m_id,
        m_responded,
        m_is_retry || !is_first_attempt,
        m_accepted.m_rank.value(),
        m_tokens,
        std::min(start + max_queueing_time(), m_accepted.m_end - response_margin)};
    const bool stopping = m_accepted.m_shutdown_deadline != time_point::max();
    if (m_core.m_wait_queue.goes_before_all(m_accepted.m_rank.value()) || !is_first_attempt ||
        stopping)
    {
        auto path = find_free_path(m_excluded_first_endpoints);
        if (!path.empty())
            co_return path;
    }
    if (stopping && is_first_attempt)
        co_return none;
    if (m_ended || (is_first_attempt &&
                    !m_core.m_wait_queue.may_wait(request, start, urgent_tokens_per_second())))
        co_return none;
    if (const auto wanted = m_core.work_wanted_at(m_accepted.m_service);
        wanted && *wanted > request.m_latest_start)
        co_return none; // No endpoint takes requests before then.
    if (!m_responded && m_core.denied_by_limits(m_accepted.m_service, m_draws))
        co_return none;
    m_core.m_wait_queue.add(request);
    m_core.m_metrics.counter("fulmaryard_router_queued_total").add();
    log_event(log_level::info, "request_queued")
        .with("request", m_accepted.m_call.m_id)
        .with("waiting", m_core.m_wait_queue.size())
        .with("tokens", m_tokens)
        .with("returning", m_is_retry)
        .with("rank", m_accepted.m_rank.value());
    std::vector<path_hop> path;
    auto next_draw = start + limit_draw_interval;
    while (path.empty() && !m_client_disconnected && !m_quarantined && !m_ended &&
           steady::now() < request.m_latest_start)
    {
        m_queue_timer.expires_at(request.m_latest_start);
        co_await m_queue_timer.async_wait(use_tuple);
        if (m_client_disconnected || m_quarantined || m_ended || m_core.m_wait_queue.next() != m_id)
            continue;
        if (m_responded && steady::now() >= next_draw)
        {
            m_draws.m_granted.clear();
            next_draw = steady::now() + limit_draw_interval;
        }
        path = m_core.find_path(
            *service(), m_tokens, context_tokens(), max_prefill_wait(), m_excluded_first_endpoints,
            m_draws, kept_share());
        if (!m_responded && m_core.denied_by_limits(m_accepted.m_service, m_draws))
            break;
    }
    m_core.m_wait_queue.remove(m_id);
    m_core.m_on_capacity(); // The next request in the queue may fit as well.
    co_return path;
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

asio::awaitable<void> stream_session::refuse(std::string_view reason, std::string_view denial)
{
    const auto now = steady::now();
    std::chrono::milliseconds retry_after{0};
    if (m_outlasts_router && m_core.has_other_routers())
        retry_after = m_core.stop_retry_after();
    else if (m_core.denied_by_limits(m_accepted.m_service, m_draws))
    {
        reason = "rate limits of endpoints";
        retry_after = m_core.limit_retry_after(m_accepted.m_service);
    }
    else if (has_pipeline())
    {
        retry_after = m_core.m_wait_queue.assign_retry_after(
            m_tokens, now, m_accepted.m_rank.value(), urgent_tokens_per_second());
        // The endpoints' own time comes first; the queue spreads the callers behind it.
        if (const auto wanted = m_core.work_wanted_at(m_accepted.m_service))
            retry_after += std::chrono::duration_cast<std::chrono::milliseconds>(*wanted - now);
    }
    else
        retry_after = m_core.retry_after(m_accepted.m_service, m_draws);
    m_core.m_streams->add_expected_retry(m_accepted, now + retry_after);
    m_core.m_metrics.counter("fulmaryard_router_refusals_total").add();
    log_event(log_level::info, "request_refused")
        .with("request", m_accepted.m_call.m_id)
        .with("reason", reason)
        .with("no_retry", denial)
        .with("tokens", m_tokens)
        .with("waiting", m_core.m_wait_queue.size())
        .with("returning", m_is_retry)
        .with("rank", m_accepted.m_rank.value())
        .with("kept_percent", has_pipeline() ? std::lround(kept_share() * 100) : 0)
        .with("retry_after_ms", retry_after.count())
        .with("held_ms", to_ms(now - m_accepted.m_arrival));
    auto response = m_core.m_protocol.refusal(m_accepted.m_call, 503, retry_after);
    m_responded = true;
    std::ignore = co_await m_exchange.respond(std::move(response));
}

asio::awaitable<void> stream_session::fail_request(std::string_view reason, std::string_view denial)
{
    const bool failed_by_endpoint = m_held_failure && !m_responded;
    log_end(failed_by_endpoint ? "failed_by_endpoint" : "broken_off", reason, denial);
    if (m_responded)
    {
        m_exchange.abort_connection();
        co_return;
    }
    http_response response;
    if (failed_by_endpoint)
        response = *std::move(m_held_failure);
    else
    {
        response = m_core.m_protocol.refusal(
            m_accepted.m_call, steady::now() >= m_accepted.m_end ? 504 : 502, {});
    }
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
    std::int64_t after_stop_ms = 0;
    if (m_core.m_drain_start)
    {
        after_stop_ms = to_ms(now - *m_core.m_drain_start);
        m_core.m_metrics.histogram("fulmaryard_router_stream_after_stop_seconds")
            .record(now - *m_core.m_drain_start);
    }
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
        .with("after_ms", to_ms(now - m_accepted.m_arrival))
        .with("after_stop_ms", after_stop_ms);
}

} // namespace fulmaryard
