#include "router_streams.hpp"
#include "stream_session.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/stall_locator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// A stream without an event for this long counts as stalled if an endpoint of its path is lost.
// Running streams have an event every few tens of milliseconds.
constexpr std::chrono::milliseconds stall_threshold{300};

// After this time without an event, the endpoints of a stream are queried for their load, before
// the pause counts as late.
constexpr std::chrono::milliseconds default_check_delay{120};

// Streams with a known usual pause between events are checked earlier: after this many usual
// pauses, but not before the minimum below, which still lets a new path be found within 200 ms.
constexpr int check_delay_pauses = 3;
constexpr std::chrono::milliseconds min_check_delay{60};

// A stream leaves a slow endpoint only if the cost of the new path is below this fraction of the
// decode time on the current one.
constexpr double max_move_cost_ratio = 0.6;

// After this time without an event, a further attempt of the stream starts elsewhere although no
// endpoint is known to fail, because callers disconnect after two seconds.
constexpr std::chrono::milliseconds max_silence{1'300};

// Largest number of searches for a takeover in one tick. Streams of a whole failure domain may fall
// silent at once, and a search takes about as long as placing a request.
constexpr std::size_t max_takeover_searches = 4;

// Interval between load queries to the same endpoint, equal to the lag of its report. Routers share
// their findings, so the interval grows in proportion once there are more routers than the number
// below.
constexpr std::chrono::milliseconds query_interval{300};
constexpr std::uint64_t routers_at_full_rate = 6;

// Timeout of a load query or repath order; covers several round trips.
constexpr std::chrono::milliseconds response_timeout{400};

// Attempts to move a stream to another path during one stall. After them, a further attempt starts
// elsewhere.
constexpr int max_repaths = 3;

// Delay before the next attempt to move a stream after one has ended, for example because the order
// was refused or no path was found. Capacity may become free in the meantime.
constexpr std::chrono::milliseconds repath_retry_delay{50};

// Interval between searches for a faster path for one stream.
constexpr std::chrono::milliseconds slow_check_interval{250};

// Streams move away from an endpoint at which others stall for this long after it was found. An
// endpoint that was only silent for a moment has streams that progress by then.
constexpr std::chrono::milliseconds stall_lifetime{500};

// A call counts as the retry of a refused one until this long after the time given in the refusal.
constexpr std::chrono::milliseconds expected_retry_grace{4'000};

} // namespace

namespace
{

/// Time without an event after which the endpoints of the stream are queried.
std::chrono::steady_clock::duration check_delay(const stream_session& session)
{
    if (session.mean_event_interval() == steady::duration::zero())
        return default_check_delay;
    return std::clamp<steady::duration>(
        session.mean_event_interval() * check_delay_pauses, min_check_delay, default_check_delay);
}

/// What a request and its retry by the same caller have in common.
std::tuple<std::string, std::string, std::string> retry_key(const accepted_call& accepted)
{
    const auto& call = accepted.m_call;
    return {accepted.m_account, call.m_host + call.m_request.m_target, call.m_prompt_prefix};
}

} // namespace

std::uint64_t router_streams::add(stream_session& session)
{
    m_sessions[++m_next_id] = &session;
    return m_next_id;
}

void router_streams::remove(std::uint64_t id)
{
    m_sessions.erase(id);
}

void router_streams::add_expected_retry(const accepted_call& accepted, time_point when)
{
    m_expected_retries[retry_key(accepted)] = when + expected_retry_grace;
}

bool router_streams::take_expected_retry(const accepted_call& accepted)
{
    const auto found = m_expected_retries.find(retry_key(accepted));
    if (found == m_expected_retries.end())
        return false;
    const bool valid = steady::now() < found->second;
    m_expected_retries.erase(found);
    return valid;
}

void router_streams::on_capacity()
{
    const auto next = m_core.m_wait_queue.next();
    if (!next)
        return;
    const auto session = m_sessions.find(*next);
    if (session != m_sessions.end())
        session->second->on_capacity();
}

void router_streams::on_tick(time_point now)
{
    std::erase_if(m_expected_retries, [now](const auto& retry) { return now > retry.second; });
    if (std::exchange(m_quarantine_generation, m_core.m_quarantine.generation()) !=
        m_core.m_quarantine.generation())
    {
        for (const auto& [id, session] : m_sessions)
            session->on_quarantine();
    }
    m_takeover_searches = max_takeover_searches;
    locate_stalls(now);
    std::vector<std::uint64_t> ids;
    for (const auto& [id, session] : m_sessions)
        ids.push_back(id);
    for (const auto id : ids)
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || !found->second->running())
            continue;
        auto& session = *found->second;
        // An event has passed all endpoints of the path.
        if (session.last_event() > m_last_tick)
        {
            for (const auto& hop : session.path())
                m_core.m_health.on_alive(hop.m_endpoint, session.last_event());
        }
        session.start_hedge_if_late(now);
        move_from_lost(session, now);
        move_from_slow(session, now);
        const auto silent = now - session.last_progress(now);
        if (silent > max_silence && !session.m_repath_pending)
            take_over(session, "no event");
        else if (session.has_pipeline() && silent > check_delay(session))
        {
            for (const auto& hop : session.path())
                query_if_due(hop.m_endpoint, now);
        }
    }
    m_last_tick = now;
    on_capacity();
}

void router_streams::locate_stalls(time_point now)
{
    std::erase_if(m_stalled, [now](const auto& stalled) { return now > stalled.second; });
    std::vector<stream_progress> streams;
    for (const auto& [id, session] : m_sessions)
    {
        if (!session->running() || !session->has_pipeline() || session->taking_over() ||
            session->m_repath_pending || session->mean_event_interval() == steady::duration::zero())
            continue;
        auto& stream = streams.emplace_back();
        for (const auto& hop : session->path())
            stream.m_endpoints.push_back(hop.m_endpoint);
        stream.m_silence = now - session->last_progress(now);
        stream.m_usual_interval = session->mean_event_interval();
    }
    for (const auto& endpoint : stall_locator::find(streams))
    {
        if (!m_stalled.contains(endpoint))
        {
            m_core.m_metrics.counter("fulmaryard_router_stalls_located_total").add();
            log_event(log_level::info, "stall_located").with("endpoint", endpoint);
            m_core.suspect(endpoint, "streams stall at it", suspicion_cause::silence);
        }
        m_stalled[endpoint] = now + stall_lifetime;
    }
}

void router_streams::move_from_lost(stream_session& session, time_point now)
{
    if (session.path().empty() || session.m_repath_pending || session.taking_over())
        return;
    const auto& first = session.path().front().m_endpoint;
    if (m_core.lost(first) && now - session.last_progress(now) > stall_threshold)
    {
        take_over(session, "first endpoint lost");
        return;
    }
    const bool part_lost = std::any_of(
        session.path().begin() + 1, session.path().end(),
        [&, this](const path_hop& hop)
        {
            const auto* record = m_core.find_endpoint(hop.m_endpoint);
            if (record == nullptr || m_core.leaving(*record))
                return true;
            if (m_stalled.contains(hop.m_endpoint) &&
                now - session.last_progress(now) >= stall_locator::min_silence)
                return true;
            // A stream that makes progress is not moved because of silence elsewhere.
            const bool progresses = now - session.last_progress(now) <= stall_threshold;
            if (progresses ? m_core.m_health.failed(record->m_id, record->m_started_ms, now)
                           : !m_core.usable(*record))
                return true;
            // An endpoint can unload layers only once no stream uses them, so streams move away
            // from layers that it no longer reports.
            const auto held = m_core.layers_of(*record);
            return hop.m_layers.m_begin < held.m_begin || held.m_end < hop.m_layers.m_end;
        });
    if (!part_lost)
        return;
    if (session.m_repath_count >= max_repaths)
    {
        if (now - session.last_progress(now) > stall_threshold)
            take_over(session, "no other path accepted");
        return;
    }
    if (now >= session.m_next_recovery_repath)
        start_repath(session);
}

void router_streams::take_over(stream_session& session, std::string_view reason)
{
    if (m_takeover_searches == 0 || !session.may_start_takeover(steady::now()))
        return;
    --m_takeover_searches;
    session.start_takeover(reason);
}

void router_streams::start_repath(stream_session& session)
{
    session.m_repath_pending = true;
    asio::co_spawn(m_core.m_io, repath(session.id()), asio::detached);
}

void router_streams::move_from_slow(stream_session& session, time_point now)
{
    const auto& path = session.path();
    if (path.size() < 2 || session.m_repath_pending || session.taking_over() ||
        session.m_repath_count >= max_repaths || now < session.m_next_faster_repath)
        return;
    const bool slow = std::any_of(
        path.begin() + 1, path.end(),
        [&](const path_hop& hop) {
            return m_core.m_health.slowdown(hop.m_endpoint, now) >= endpoint_health::slow_threshold;
        });
    const auto* service = m_core.m_table->find_service(session.accepted().m_service);
    if (!slow || service == nullptr)
        return;
    session.m_next_faster_repath = now + slow_check_interval;
    const auto next = find_next_path(session, *service);
    if (!next.m_hops.empty() &&
        next.m_cost_ms < max_move_cost_ratio * m_core.path_decode_ms(*service, path, 1))
        start_repath(session);
}

found_path router_streams::find_next_path(stream_session& session, const routed_service& service)
{
    // The memory that the stream holds on its current path counts as free in the search.
    m_core.m_reservations.release(session.path(), session.tokens());
    auto path =
        m_core.find_next_path(service, session.tokens(), session.context_tokens(), session.path());
    m_core.m_reservations.take(session.path(), session.tokens());
    return path;
}

void router_streams::query_if_due(const std::string& endpoint, time_point now)
{
    if (m_core.lost(endpoint))
        return; // Endpoints under suspicion are probed elsewhere until they respond.
    auto& last_query = m_last_query[endpoint];
    if (now - last_query <
        query_interval * std::max<std::uint64_t>(1, m_core.m_router_count / routers_at_full_rate))
        return;
    last_query = now;
    asio::co_spawn(m_core.m_io, query_load(endpoint), asio::detached);
}

asio::awaitable<void> router_streams::query_load(std::string endpoint)
{
    if (m_core.find_endpoint(endpoint) == nullptr)
        co_return;
    http_request query = m_core.m_protocol.write_load_query();
    const auto response = co_await m_core.call(endpoint, std::move(query), response_timeout);
    if (!response.ok())
    {
        m_core.suspect_after(endpoint, response.status());
        co_return;
    }
    const auto load = m_core.m_protocol.read_load(*response);
    if (!load.ok())
    {
        log_event(log_level::warning, "report_unreadable")
            .with("endpoint", endpoint)
            .with("error", message_of(load.status()));
        co_return;
    }
    m_core.record_pace(endpoint, load->m_slowdown, true);
    for (const auto& stalled : load->m_stalled_calls)
    {
        const auto* at_fault = m_core.find_endpoint_at(stalled.m_address);
        if (at_fault != nullptr)
            m_core.suspect(at_fault->m_id, "calls stall at it");
    }
}

asio::awaitable<void> router_streams::repath(std::uint64_t id)
{
    const auto find = [this, id]() -> stream_session*
    {
        const auto found = m_sessions.find(id);
        return found == m_sessions.end() ? nullptr : found->second;
    };
    auto* session = find();
    const auto* service = m_core.m_table == nullptr
                              ? nullptr
                              : m_core.m_table->find_service(session->accepted().m_service);
    if (service == nullptr || session->path().empty())
    {
        session->m_repath_pending = false;
        co_return;
    }
    const auto start = steady::now();
    stream_move move;
    move.m_silence = start - session->last_progress(start);
    const auto first = session->path().front();
    const auto attempt_number = session->attempt_number();
    auto path = find_next_path(*session, *service).m_hops;
    if (path.empty())
    {
        m_core.m_metrics.counter("fulmaryard_router_moves_without_path_total").add();
        session->m_repath_pending = false;
        ++session->m_repath_count;
        session->m_next_recovery_repath = steady::now() + repath_retry_delay;
        co_return;
    }
    // Reserves the new path until the response arrives, so that streams that move at the same time
    // are spread over different endpoints.
    const double tokens = session->tokens();
    const double prefill_tokens = session->context_tokens();
    m_core.m_reservations.take(path, tokens, prefill_tokens);
    m_core.charge_crossings(*service, path, tokens);
    http_request order = m_core.m_protocol.write_repath(session->accepted().m_call.m_id, path);
    m_core.m_metrics.counter("fulmaryard_router_repath_orders_total").add();
    const auto response =
        co_await m_core.call(first.m_endpoint, std::move(order), response_timeout);
    m_core.m_reservations.release(path, tokens, prefill_tokens);
    session = find();
    if (session == nullptr)
        co_return;
    session->m_repath_pending = false;
    ++session->m_repath_count;
    session->m_next_recovery_repath = steady::now() + repath_retry_delay;
    const bool accepted = response.ok() && response->m_status >= 200 && response->m_status < 300;
    if (accepted)
    {
        move.m_accepted = steady::now();
        move.m_order = move.m_accepted - start;
        session->on_repath(attempt_number, std::move(path), move);
        co_return;
    }
    const auto fault = response.ok() ? m_core.m_protocol.read_repath_refuser(*response) : "";
    if (const auto* at_fault = m_core.find_endpoint_at(fault))
        m_core.m_refusals.on_refused(at_fault->m_id, steady::now());
    log_event(log_level::info, "repath_refused")
        .with("request", session->accepted().m_call.m_id)
        .with("status", response.ok() ? response->m_status : 0)
        .with("by", fault)
        .with("error", response.ok() ? "" : message_of(response.status()));
    if (response.ok() && response->m_status == 404 && session->attempt_number() == attempt_number)
        session->start_takeover("first endpoint does not know the request");
}

} // namespace fulmaryard
