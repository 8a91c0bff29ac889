#include "router_streams.hpp"
#include "stream_session.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <vector>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// A stream without an event for this long counts as stalled if an endpoint of its path is lost.
// Running streams have an event every few tens of milliseconds.
constexpr std::chrono::milliseconds stall_suspected{300};

// After this time without an event, the endpoints of a stream are queried for their load, before
// the pause counts as late.
constexpr std::chrono::milliseconds pause_checked{120};

// Streams with a known usual pause between events are checked earlier: after this many usual
// pauses, but not before the minimum below, which still lets a new path be found within 200 ms.
constexpr int usual_pauses_checked = 3;
constexpr std::chrono::milliseconds shortest_pause_checked{60};

// A stream leaves a slow endpoint only if the cost of the new path is below this fraction of the
// decode time on the current one.
constexpr double worthwhile_cost = 0.6;

// A stream without an event for this long continues elsewhere although no endpoint is known to
// fail, because callers disconnect after two seconds.
constexpr std::chrono::milliseconds stall_unexplained{1'300};

// Interval between load queries to the same endpoint, equal to the lag of its report. Routers share
// their findings, so the interval grows in proportion once there are more routers than the number
// below.
constexpr std::chrono::milliseconds ask_interval{300};
constexpr std::uint64_t routers_at_full_rate = 6;

// Timeout of a load query or repath order; covers several round trips.
constexpr std::chrono::milliseconds answer_deadline{400};

// Attempts to move a stream to another path during one stall. After them, the attempt is abandoned
// and the stream restarts elsewhere.
constexpr int max_repaths = 3;

// Delay before the next attempt to move a stream after one has ended, for example because the order
// was refused or no path was found. Capacity may become free in the meantime.
constexpr std::chrono::milliseconds repath_pause{50};

// Interval between searches for a faster path for one stream.
constexpr std::chrono::milliseconds move_interval{250};

// A call counts as the retry of a refused one until this long after the time given in the refusal.
constexpr std::chrono::milliseconds promise_grace{4'000};

} // namespace

namespace
{

/// Time without an event after which the endpoints of the stream are queried.
std::chrono::steady_clock::duration longest_unchecked(const stream_session& session)
{
    if (session.usual_pause() == steady::duration::zero())
        return pause_checked;
    return std::clamp<steady::duration>(
        session.usual_pause() * usual_pauses_checked, shortest_pause_checked, pause_checked);
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

void router_streams::add_promise(const accepted_call& accepted, time_point when)
{
    m_promises[{accepted.m_account, accepted.m_call.m_subject}] = when + promise_grace;
}

bool router_streams::take_promise(const accepted_call& accepted)
{
    const auto found = m_promises.find({accepted.m_account, accepted.m_call.m_subject});
    if (found == m_promises.end())
        return false;
    const bool valid = steady::now() < found->second;
    m_promises.erase(found);
    return valid;
}

void router_streams::on_room()
{
    const auto next = m_core.m_line.next();
    if (!next)
        return;
    const auto session = m_sessions.find(*next);
    if (session != m_sessions.end())
        session->second->on_room();
}

void router_streams::on_tick(time_point now)
{
    std::erase_if(m_promises, [now](const auto& promise) { return now > promise.second; });
    std::vector<std::uint64_t> ids;
    for (const auto& [id, session] : m_sessions)
        ids.push_back(id);
    for (const auto id : ids)
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || !found->second->running())
            continue;
        auto& session = *found->second;
        move_from_lost(session, now);
        move_from_slow(session, now);
        const auto silent = now - session.last_progress();
        if (silent > stall_unexplained && !session.m_repath_pending)
            session.abandon_attempt("no event");
        else if (silent > longest_unchecked(session))
        {
            for (const auto& hop : session.path())
                check(hop.m_endpoint, now);
        }
    }
    on_room();
}

void router_streams::move_from_lost(stream_session& session, time_point now)
{
    if (session.path().empty() || session.m_repath_pending)
        return;
    const auto& first = session.path().front().m_endpoint;
    if (m_core.lost(first) && now - session.last_progress() > stall_suspected)
    {
        session.abandon_attempt("first endpoint lost");
        return;
    }
    const bool part_lost = std::any_of(
        session.path().begin() + 1, session.path().end(),
        [this](const path_hop& hop)
        {
            const auto* record = m_core.find_endpoint(hop.m_endpoint);
            if (record == nullptr || !m_core.usable(*record))
                return true;
            // An endpoint can unload layers only once no stream uses them, so streams move away
            // from layers that it no longer reports.
            const auto held = m_core.layers_of(*record);
            return hop.m_layers.m_begin < held.m_begin || held.m_end < hop.m_layers.m_end;
        });
    if (!part_lost)
        return;
    if (session.m_repaths >= max_repaths)
    {
        if (now - session.last_progress() > stall_suspected)
            session.abandon_attempt("no other path accepted");
        return;
    }
    if (now >= session.m_next_repath)
        start_repath(session);
}

void router_streams::start_repath(stream_session& session)
{
    session.m_repath_pending = true;
    asio::co_spawn(m_core.m_io, repath(session.id()), asio::detached);
}

void router_streams::move_from_slow(stream_session& session, time_point now)
{
    const auto& path = session.path();
    if (path.size() < 2 || session.m_repath_pending || session.m_repaths >= max_repaths ||
        now < session.m_no_repath_before)
        return;
    const bool slow = std::any_of(
        path.begin() + 1, path.end(),
        [&](const path_hop& hop)
        { return m_core.m_health.pace(hop.m_endpoint, now) >= endpoint_health::slow_pace; });
    const auto* service = m_core.m_table->find_service(session.accepted().m_service);
    if (!slow || service == nullptr)
        return;
    session.m_no_repath_before = now + move_interval;
    const auto next = path_for(session, *service);
    if (!next.m_hops.empty() && next.m_cost < worthwhile_cost * m_core.path_cost(*service, path, 1))
        start_repath(session);
}

found_path router_streams::path_for(stream_session& session, const routed_service& service)
{
    // The memory that the stream holds on its current path counts as free in the search.
    m_core.m_room.release(session.path(), session.tokens());
    auto path = m_core.find_path_behind(
        service, session.tokens(), session.context_tokens(), session.path().front());
    m_core.m_room.take(session.path(), session.tokens());
    return path;
}

void router_streams::check(const std::string& endpoint, time_point now)
{
    if (m_core.lost(endpoint))
        return; // Endpoints under suspicion are probed elsewhere until they respond.
    auto& asked = m_asked[endpoint];
    if (now - asked <
        ask_interval * std::max<std::uint64_t>(1, m_core.m_routers / routers_at_full_rate))
        return;
    asked = now;
    asio::co_spawn(m_core.m_io, ask(endpoint), asio::detached);
}

asio::awaitable<void> router_streams::ask(std::string endpoint)
{
    const auto* record = m_core.find_endpoint(endpoint);
    if (record == nullptr)
        co_return;
    http_request query = m_core.m_protocol.write_load_query();
    const auto response = co_await call_endpoint(
        m_core.m_channels, record->m_address, std::move(query), answer_deadline);
    if (!response.ok())
    {
        m_core.suspect(endpoint, message_of(response.status()));
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
    m_core.note_pace(endpoint, load->m_pace, true);
    for (const auto& stalled : load->m_stalled)
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
    const auto first = session->path().front();
    auto path = path_for(*session, *service).m_hops;
    if (path.empty())
    {
        session->m_repath_pending = false;
        ++session->m_repaths;
        session->m_next_repath = steady::now() + repath_pause;
        co_return;
    }
    // Reserves the new path until the response arrives, so that streams that move at the same time
    // are spread over different endpoints.
    const double tokens = session->tokens();
    const double unread = session->context_tokens();
    m_core.m_room.take(path, tokens, unread);
    m_core.count_crossings(*service, path, tokens);
    http_request order = m_core.m_protocol.write_repath(session->accepted().m_call.m_id, path);
    m_core.m_metrics.counter("fulmaryard_router_repath_orders_total").add();
    const auto response = co_await call_endpoint(
        m_core.m_channels, first.m_address, std::move(order), answer_deadline);
    m_core.m_room.release(path, tokens, unread);
    session = find();
    if (session == nullptr)
        co_return;
    session->m_repath_pending = false;
    ++session->m_repaths;
    session->m_next_repath = steady::now() + repath_pause;
    const bool accepted = response.ok() && response->m_status >= 200 && response->m_status < 300;
    if (accepted && session->running() && !session->path().empty())
    {
        session->on_repath(std::move(path));
        co_return;
    }
    const auto fault = response.ok() ? m_core.m_protocol.read_repath_fault(*response) : "";
    if (const auto* at_fault = m_core.find_endpoint_at(fault))
        m_core.m_refusals.on_refused(at_fault->m_id, steady::now());
    log_event(log_level::info, "repath_refused")
        .with("request", session->accepted().m_call.m_id)
        .with("status", response.ok() ? response->m_status : 0)
        .with("by", fault)
        .with("error", response.ok() ? "" : message_of(response.status()));
    if (response.ok() && response->m_status == 404)
        session->abandon_attempt("first endpoint does not know the request");
}

} // namespace fulmaryard
