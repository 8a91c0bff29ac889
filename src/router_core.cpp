#include "router_core.hpp"
#include "limit_draws.hpp"

#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/path_finder.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace
{

// Share of an endpoint's free memory that paths may use. The rest covers errors of the expected
// lengths, because an endpoint that runs out of memory interrupts a running request.
constexpr double planned_memory_share = 0.92;

// Share of an endpoint's time that is spent on prefill; the rest goes to decoding.
constexpr double prefill_time_share = 0.5;

// Requests leave memory for the more urgent ones that arrive within this time at the rate of the
// last seconds. The rate may double before enough of the running streams have ended.
constexpr std::chrono::milliseconds kept_for{1'000};

// Largest share of the memory that is kept for more urgent requests, so that the others are served.
constexpr double max_kept_share = 0.25;

// Endpoints and their layers change seldom, so their capacity is found once in this time.
constexpr std::chrono::milliseconds capacity_lifetime{500};

// Added to the cost of a path in another failure domain, in milliseconds per token, because its
// answers use bandwidth between domains.
constexpr double foreign_domain_cost_ms = 6;

// Weight of prefill time when a running stream is moved to another path. The stream pauses during
// the prefill; 1 ms of it costs as much as this many milliseconds more per remaining token.
constexpr double repath_prefill_weight = 0.1;

// Share of the pipe between failure domains that new paths may use. Transfers queue behind each
// other, so streams would pause for long well before the pipe is saturated.
constexpr double pipe_share = 0.4;

// Largest share of the endpoints of a failure domain that are left out because of silence alone.
// With more of them silent, the links are the more likely cause, and leaving out endpoints that
// work would take away more service than sending to some that do not.
constexpr double max_silent_share = 0.34;

// Timeout of the query that finds out whether an endpoint's run has ended. A host refuses the
// connection within a round trip.
constexpr std::chrono::milliseconds end_check_timeout{150};

// Retry-After of a refused call to a service without pipelines: expected time until an endpoint has
// capacity again.
constexpr std::chrono::milliseconds refusal_retry_after{250};

// Bounds of the Retry-After of a call that a stopping router refuses. Routers that stay have room
// at once; the spread keeps the callers of this router from arriving together.
constexpr std::chrono::milliseconds min_stop_retry_after{50};
constexpr std::chrono::milliseconds stop_retry_spread{150};

// Searches of a path for one request, each without the endpoints whose rate limits denied it
// before. The last one leaves out all endpoints with a limit.
constexpr int max_limited_searches = 6;

// Assumed number of routers that share a budget while the actual number is unknown.
constexpr std::uint64_t default_router_count = 20;

} // namespace

router_core::router_core(
    boost::asio::io_context& io, const router_settings& settings, const endpoint_protocol& protocol)
    : m_io(io),
      m_settings(settings),
      m_protocol(protocol),
      m_answer_memory(settings.m_answer_memory_bytes),
      m_channels(io.get_executor()),
      m_random(std::random_device{}())
{
}

const endpoint_record* router_core::find_endpoint(const std::string& id) const
{
    const auto& endpoints = m_membership.endpoints();
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? nullptr : &found->second;
}

const endpoint_record* router_core::find_endpoint_at(const std::string& address) const
{
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_address == address)
            return &record;
    }
    return nullptr;
}

bool router_core::silence_set_aside(const endpoint_record& record) const
{
    return m_silent_domains.contains({record.m_service, record.m_failure_domain});
}

bool router_core::usable(const endpoint_record& record) const
{
    const auto now = std::chrono::steady_clock::now();
    if (leaving(record) || m_health.failed(record.m_id, record.m_started_ms, now) ||
        m_notices.no_work_until(record.m_id, record.m_started_ms, now))
        return false;
    return silence_set_aside(record) || !m_health.suspected(record.m_id, record.m_started_ms, now);
}

bool router_core::leaving(const endpoint_record& record) const
{
    return record.m_leaving || m_notices.leaving(record.m_id, record.m_started_ms);
}

bool router_core::may_send(const std::string& id) const
{
    const auto* record = find_endpoint(id);
    return record == nullptr ||
           (!leaving(*record) &&
            !m_notices.no_work_until(id, record->m_started_ms, std::chrono::steady_clock::now()));
}

bool router_core::can_begin_at(const endpoint_record& record) const
{
    const auto* routed = m_table == nullptr ? nullptr : m_table->find_service(record.m_service);
    const auto layers = layers_of(record);
    return routed == nullptr || !routed->m_engine || (layers.m_begin == 0 && layers.m_end > 0);
}

std::optional<router_core::time_point> router_core::work_wanted_at(const std::string& service) const
{
    const auto now = std::chrono::steady_clock::now();
    std::optional<time_point> earliest;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_service != service || !can_begin_at(record))
            continue;
        if (usable(record))
            return std::nullopt;
        const auto until = m_notices.no_work_until(id, record.m_started_ms, now);
        if (until && !leaving(record) && !m_health.failed(id, record.m_started_ms, now))
            earliest = std::min(earliest.value_or(*until), *until);
    }
    return earliest;
}

void router_core::note_answer(
    const std::string& id, std::uint64_t started_ms, unsigned status,
    const std::vector<http_field>& fields, time_point sent, bool answers_call)
{
    const auto now = std::chrono::steady_clock::now();
    const auto notice = m_protocol.read_notice(status, fields);
    if (!notice.m_unreadable.empty())
    {
        log_event(log_level::warning, "endpoint_notice_unreadable")
            .with("endpoint", id)
            .with("value", notice.m_unreadable);
    }
    note_rate_limit(id, started_ms, {notice.m_request_rate, answers_call, sent}, now);
    if (!m_notices.on_notice(id, started_ms, notice, now))
        return;
    m_metrics
        .counter(
            "fulmaryard_router_endpoint_notices_total",
            notice.m_leaving ? "kind=\"leaving\"" : "kind=\"no_work\"")
        .add();
    log_event(log_level::info, "endpoint_notice")
        .with("endpoint", id)
        .with("started_ms", started_ms)
        .with("leaving", notice.m_leaving)
        .with("no_work_ms", notice.m_no_work_for.value_or(std::chrono::milliseconds(0)).count());
}

boost::asio::awaitable<absl::StatusOr<http_response>>
router_core::call(std::string endpoint, http_request request, std::chrono::milliseconds timeout)
{
    const auto* record = find_endpoint(endpoint);
    if (record == nullptr)
    {
        co_return make_failure(
            failure_kind::endpoint_lost, "the endpoint is not listed", dispatch_progress::not_sent);
    }
    const auto started_ms = record->m_started_ms;
    const auto sent = std::chrono::steady_clock::now();
    auto response =
        co_await call_endpoint(m_channels, record->m_address, std::move(request), timeout);
    if (response.ok())
        note_answer(endpoint, started_ms, response->m_status, response->m_fields, sent, false);
    co_return response;
}

bool router_core::plannable(const endpoint_record& record) const
{
    const auto now = std::chrono::steady_clock::now();
    if (leaving(record) || m_health.failed(record.m_id, record.m_started_ms, now))
        return false;
    return silence_set_aside(record) || !m_health.lost(record.m_id, record.m_started_ms, now);
}

void router_core::update_silent_domains(time_point now)
{
    struct domain_counts
    {
        std::size_t m_endpoints{0};
        std::size_t m_silent{0};
    };
    m_health.on_tick(now);
    if (!m_health.any_silence(now))
    {
        m_silent_domains.clear();
        return;
    }
    std::map<std::pair<std::string, std::string>, domain_counts> domains;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (leaving(record) || m_health.failed(id, record.m_started_ms, now))
            continue;
        auto& counts = domains[{record.m_service, record.m_failure_domain}];
        ++counts.m_endpoints;
        counts.m_silent += m_health.suspected(id, record.m_started_ms, now) ? 1 : 0;
    }
    std::set<std::pair<std::string, std::string>> silent;
    for (const auto& [domain, counts] : domains)
    {
        if (counts.m_silent > 1 && static_cast<double>(counts.m_silent) >
                                       max_silent_share * static_cast<double>(counts.m_endpoints))
            silent.insert(domain);
    }
    for (const auto& domain : silent)
    {
        if (!m_silent_domains.contains(domain))
        {
            log_event(log_level::warning, "silence_set_aside")
                .with("service", domain.first)
                .with("domain", domain.second)
                .with("silent", domains[domain].m_silent)
                .with("endpoints", domains[domain].m_endpoints);
        }
    }
    m_silent_domains = std::move(silent);
}

bool router_core::lost(const std::string& id) const
{
    const auto* record = find_endpoint(id);
    return record != nullptr &&
           m_health.suspected(id, record->m_started_ms, std::chrono::steady_clock::now());
}

boost::asio::awaitable<bool> router_core::check_ended(endpoint_run run)
{
    http_request query = m_protocol.write_load_query();
    const auto response =
        co_await call_endpoint(m_channels, run.m_address, std::move(query), end_check_timeout);
    co_return !response.ok() && kind_of(response.status()) == failure_kind::connection_refused;
}

boost::asio::awaitable<bool> router_core::check_killed(endpoint_run run)
{
    const auto* record = find_endpoint(run.m_endpoint);
    if (record == nullptr || leaving(*record))
        co_return false;
    co_return co_await check_ended(std::move(run));
}

boost::asio::awaitable<bool> router_core::check_crashed(endpoint_run run)
{
    const bool ended = co_await check_ended(run);
    const auto* record = find_endpoint(run.m_endpoint);
    if (record == nullptr || leaving(*record))
        co_return false;
    if (ended)
        suspect(run.m_endpoint, "connection refused");
    co_return ended || record->m_started_ms != run.m_started_ms;
}

layer_range router_core::layers_of(const endpoint_record& record) const
{
    const auto reported = m_reported_layers.find(record.m_id);
    if (reported != m_reported_layers.end() && reported->second.first == record.m_started_ms)
        return reported->second.second;
    return record.m_layers;
}

void router_core::suspect_after(const std::string& id, const absl::Status& status)
{
    const bool timeout = kind_of(status) == failure_kind::deadline_exceeded;
    suspect(id, message_of(status), timeout ? suspicion_cause::silence : suspicion_cause::failure);
}

void router_core::suspect(const std::string& id, std::string_view reason, suspicion_cause cause)
{
    const auto* record = find_endpoint(id);
    if (record == nullptr)
        return;
    const auto now = std::chrono::steady_clock::now();
    if (m_health.suspect(id, record->m_started_ms, now, cause))
    {
        const bool failure = cause == suspicion_cause::failure;
        log_event(log_level::warning, "endpoint_suspected")
            .with("endpoint", id)
            .with("address", record->m_address)
            .with("cause", failure ? "failure" : "silence")
            .with("reason", reason);
        if (m_on_suspect && failure)
            m_on_suspect();
    }
}

void router_core::note_crash(
    const std::string& request, const std::string& identity, const endpoint_run& run,
    const prompt_quarantine::part_list& parts)
{
    log_event(log_level::info, "endpoint_crashed")
        .with("request", request)
        .with("endpoint", run.m_endpoint)
        .with("started_ms", run.m_started_ms)
        .with("identity", identity)
        .with("suspects", fmt::format("{}", fmt::join(parts, ",")));
    m_metrics.counter("fulmaryard_router_endpoint_crashes_total").add();
    const auto run_name = fmt::format("{}@{}", run.m_endpoint, run.m_started_ms);
    note_quarantine(
        m_quarantine.on_crashed(parts, run_name, std::chrono::steady_clock::now()),
        "own observation");
}

void router_core::note_quarantine(
    const prompt_quarantine::part_list& parts, std::string_view source)
{
    if (parts.empty())
        return;
    for (const auto& part : parts)
        log_event(log_level::warning, "prompt_part_quarantined")
            .with("part", part)
            .with("source", source);
    m_metrics.counter("fulmaryard_router_quarantined_parts_total").add(parts.size());
    if (m_on_suspect)
        m_on_suspect();
}

void router_core::clear_suspicion(const std::string& id)
{
    if (m_health.clear(id))
        log_event(log_level::info, "endpoint_answers").with("endpoint", id);
}

void router_core::count_request(const std::string& service)
{
    const auto now = std::chrono::steady_clock::now();
    m_retry_budgets[service].on_request(now);
    m_hedges.set_percent(m_settings.m_hedge_percent);
    m_hedges.on_request(service, now);
}

bool router_core::try_hedge(const std::string& service, std::string_view kind)
{
    if (!m_hedges.try_hedge(service, std::chrono::steady_clock::now()))
    {
        deny_hedge(kind, "limit");
        return false;
    }
    if (!try_retry(service))
    {
        deny_hedge(kind, "retry_budget");
        return false;
    }
    m_metrics.counter("fulmaryard_router_hedges_total", fmt::format("kind=\"{}\"", kind)).add();
    return true;
}

void router_core::deny_hedge(std::string_view kind, std::string_view cause)
{
    m_metrics
        .counter(
            "fulmaryard_router_hedges_denied_total",
            fmt::format("kind=\"{}\",cause=\"{}\"", kind, cause))
        .add();
}

void router_core::count_hedge_end(std::string_view kind, bool won)
{
    m_metrics
        .counter(
            "fulmaryard_router_hedges_ended_total",
            fmt::format("kind=\"{}\",answered_by=\"{}\"", kind, won ? "second" : "first"))
        .add();
}

bool router_core::try_retry(const std::string& service)
{
    // All routers share the slack in equal parts. A router that does not know their number assumes
    // a large one. After a restart it does not know which retries it used before, so its part grows
    // from 0 over one window. If there is any slack, it always has at least one retry.
    const double window_fraction = std::min(
        1.0, std::chrono::duration<double>(std::chrono::steady_clock::now() - m_created) /
                 retry_budget::window);
    const double slack =
        m_settings.m_retry_slack * window_fraction / static_cast<double>(router_count());
    const std::uint64_t min_slack = m_settings.m_retry_slack > 0 ? 1 : 0;
    auto& budget = m_retry_budgets[service];
    budget.set(
        {m_settings.m_retry_percent, std::max(min_slack, static_cast<std::uint64_t>(slack))});
    const bool granted = budget.try_retry(std::chrono::steady_clock::now());
    m_metrics
        .counter(
            granted ? "fulmaryard_router_retries_total" : "fulmaryard_router_retries_denied_total",
            fmt::format("service=\"{}\"", service))
        .add();
    return granted;
}

std::chrono::steady_clock::duration
router_core::random_spread(std::chrono::steady_clock::duration most)
{
    const auto limit = static_cast<std::uint64_t>(std::max<std::int64_t>(most.count(), 0)) + 1;
    return std::chrono::steady_clock::duration(static_cast<std::int64_t>(random_value() % limit));
}

std::chrono::milliseconds router_core::stop_retry_after()
{
    return min_stop_retry_after +
           std::chrono::duration_cast<std::chrono::milliseconds>(random_spread(stop_retry_spread));
}

std::chrono::milliseconds
router_core::retry_after(const std::string& service, const limit_draws& draws)
{
    using duration = std::chrono::steady_clock::duration;
    if (denied_by_limits(service, draws))
        return limit_retry_after(service);
    const auto wanted = work_wanted_at(service);
    if (!wanted)
        return refusal_retry_after;
    // The callers that were refused meanwhile come back spread over half as long again.
    const auto wait = std::max(*wanted - std::chrono::steady_clock::now(), duration::zero());
    return refusal_retry_after +
           std::chrono::duration_cast<std::chrono::milliseconds>(wait + random_spread(wait / 2));
}

std::uint64_t router_core::router_count() const
{
    return m_router_count == 0 ? default_router_count : m_router_count;
}

bool router_core::may_cross(const routed_service& service, time_point now)
{
    const auto& engine = *service.m_engine;
    if (engine.m_cross_domain_bytes_per_second <= 0)
        return true;
    auto& budget = m_crossing_budgets[service.m_name];
    budget.set(
        engine.m_cross_domain_bytes_per_second * pipe_share / static_cast<double>(router_count()));
    return budget.may_cross(now);
}

void router_core::charge_crossings(
    const routed_service& service, const std::vector<path_hop>& path, double tokens)
{
    int crossings = 0;
    for (std::size_t i = 1; i < path.size(); ++i)
    {
        const auto* from = find_endpoint(path[i - 1].m_endpoint);
        const auto* to = find_endpoint(path[i].m_endpoint);
        if (from != nullptr && to != nullptr && from->m_failure_domain != to->m_failure_domain)
            ++crossings;
    }
    if (crossings > 0)
    {
        m_crossing_budgets[service.m_name].charge(
            crossings * tokens * service.m_engine->m_activation_bytes_per_token,
            std::chrono::steady_clock::now());
    }
}

double router_core::expected_tokens(const routed_call& call, const pipeline_engine& engine)
{
    double answer = static_cast<double>(call.m_expected_answer_tokens);
    if (call.m_expected_answer_tokens == 0)
        answer = engine.m_mean_response_tokens;
    if (call.m_max_answer_tokens > 0)
        answer = std::min(answer, static_cast<double>(call.m_max_answer_tokens));
    return static_cast<double>(call.m_prompt_tokens) + answer;
}

void router_core::record_pace(const std::string& id, double slowdown, bool own)
{
    const auto now = std::chrono::steady_clock::now();
    const bool was_slow = m_health.slowdown(id, now) >= endpoint_health::slow_threshold;
    m_health.on_slowdown(id, slowdown, own, now);
    // A value from another router is ignored while a report to this process is recent, so the
    // endpoint may be as slow as before.
    if (was_slow != (m_health.slowdown(id, now) >= endpoint_health::slow_threshold))
    {
        log_event(log_level::info, was_slow ? "endpoint_fast" : "endpoint_slow")
            .with("endpoint", id)
            .with("pace", slowdown)
            .with("own", own);
    }
}

double router_core::decode_layer_ms(
    const pipeline_engine& engine, const accelerator_kind& kind, const std::string& id,
    time_point now) const
{
    const double requests = static_cast<double>(m_reservations.use(id, now).m_crossing_requests);
    const double step = engine.m_decode_step_ms + engine.m_decode_step_per_request_ms * requests;
    return step * kind.m_step_factor / engine.m_layers * std::max(m_health.slowdown(id, now), 1.0);
}

double router_core::path_decode_ms(
    const routed_service& service, const std::vector<path_hop>& path, std::size_t begin) const
{
    const auto now = std::chrono::steady_clock::now();
    double total_ms = 0;
    for (std::size_t i = begin; i < path.size(); ++i)
    {
        const auto* record = find_endpoint(path[i].m_endpoint);
        const auto* kind = record == nullptr
                               ? nullptr
                               : service.m_engine->find_accelerator_kind(record->m_accelerator);
        if (kind != nullptr)
        {
            total_ms += decode_layer_ms(*service.m_engine, *kind, record->m_id, now) *
                        (path[i].m_layers.m_end - path[i].m_layers.m_begin);
        }
    }
    return total_ms;
}

double router_core::token_capacity(const routed_service& service) const
{
    const auto& engine = *service.m_engine;
    const double bytes_per_layer = engine.m_kv_bytes_per_token / engine.m_layers;
    std::map<std::string, std::vector<double>> domains;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        const auto* kind = engine.find_accelerator_kind(record.m_accelerator);
        const auto layers = layers_of(record);
        if (record.m_service != service.m_name || kind == nullptr || !usable(record) ||
            layers.m_begin >= layers.m_end || layers.m_end > engine.m_layers)
            continue;
        const double held = layers.m_end - layers.m_begin;
        const double free_mb = kind->m_memory_mb - held * engine.m_layer_mb;
        auto& capacities = domains[record.m_failure_domain];
        capacities.resize(engine.m_layers);
        for (auto layer = layers.m_begin; layer < layers.m_end; ++layer)
            capacities[layer] += free_mb * 1e6 * planned_memory_share / bytes_per_layer / held;
    }
    double total = 0;
    for (const auto& [domain, capacities] : domains)
        total += std::max(*std::min_element(capacities.begin(), capacities.end()), 0.0);
    return total;
}

double router_core::kept_share(const routed_service& service, std::uint32_t priority)
{
    const auto now = std::chrono::steady_clock::now();
    const double rate = m_rank_demand[service.m_name].rate_above(priority, now);
    if (rate <= 0)
        return 0;
    auto& [capacity, found_at] = m_token_capacities[service.m_name];
    if (now - found_at > capacity_lifetime)
    {
        capacity = token_capacity(service);
        found_at = now;
    }
    const double kept = rate * std::chrono::duration<double>(kept_for).count();
    return capacity > 0 ? std::min(kept / capacity, max_kept_share) : max_kept_share;
}

std::vector<path_candidate> router_core::candidates(
    const routed_service& service, const std::set<std::string>& avoided, double kept_share) const
{
    const auto& engine = *service.m_engine;
    const auto now = std::chrono::steady_clock::now();
    const double bytes_per_layer = engine.m_kv_bytes_per_token / engine.m_layers;
    std::vector<path_candidate> result;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_service != service.m_name || avoided.contains(id) || !usable(record))
            continue;
        if (m_refusals.paused(id, now))
            continue;
        const auto* kind = engine.find_accelerator_kind(record.m_accelerator);
        const auto layers = layers_of(record);
        if (kind == nullptr || layers.m_begin >= layers.m_end)
            continue;
        const auto use = m_reservations.use(id, now);
        const double free_mb =
            kind->m_memory_mb - (layers.m_end - layers.m_begin) * engine.m_layer_mb;
        path_candidate candidate;
        candidate.m_endpoint = id;
        candidate.m_address = record.m_address;
        candidate.m_failure_domain = record.m_failure_domain;
        candidate.m_layers = layers;
        candidate.m_free_token_layers =
            free_mb * 1e6 * planned_memory_share * (1 - kept_share) / bytes_per_layer -
            use.m_kv_token_layers;
        const double prefill_layers_per_ms = engine.m_prefill_tokens_per_second * engine.m_layers /
                                             kind->m_prefill_factor /
                                             std::max(m_health.slowdown(id, now), 1.0) / 1e3;
        if (prefill_layers_per_ms > 0)
        {
            candidate.m_prefill_wait_ms =
                use.m_unread / (prefill_layers_per_ms * prefill_time_share);
            candidate.m_prefill_layer_ms = 1 / prefill_layers_per_ms;
        }
        candidate.m_decode_layer_ms = decode_layer_ms(engine, *kind, id, now);
        candidate.m_free_slots =
            static_cast<std::int64_t>(engine.m_max_batch_size) - use.m_starting_requests;
        result.push_back(std::move(candidate));
    }
    return result;
}

std::vector<path_hop> router_core::find_path(
    const routed_service& service, double tokens, double prefill_tokens,
    std::chrono::milliseconds max_prefill_wait, const std::set<std::string>& avoided,
    limit_draws& draws, double kept_share)
{
    auto usable_candidates = candidates(service, avoided, kept_share);
    path_query query;
    query.m_max_prefill_wait_ms = static_cast<double>(max_prefill_wait.count());
    query.m_layers = service.m_engine->m_layers;
    query.m_tokens = tokens;
    query.m_unread = prefill_tokens;
    for (int searches = 1;; ++searches)
    {
        const bool spares_limited = draws.m_spares_limited || searches == max_limited_searches;
        for (auto& candidate : usable_candidates)
        {
            if (denied_as_first(candidate.m_endpoint, draws, spares_limited))
                candidate.m_free_slots = 0;
        }
        auto path = cheapest_path(service, usable_candidates, query);
        if (path.empty() || within_rate_limit(path.front().m_endpoint, draws))
            return path;
        if (spares_limited)
            return {}; // A limit that was not known when the search began.
    }
}

std::vector<path_hop> router_core::cheapest_path(
    const routed_service& service, const std::vector<path_candidate>& usable_candidates,
    path_query query)
{
    std::set<std::string> domains;
    for (const auto& candidate : usable_candidates)
        domains.insert(candidate.m_failure_domain);
    found_path best;
    for (const auto& domain : domains)
    {
        query.m_domain = domain;
        auto path = fulmaryard::find_path(usable_candidates, query);
        if (domain != m_settings.m_failure_domain)
            path.m_cost_ms += foreign_domain_cost_ms;
        if (!path.m_hops.empty() && (best.m_hops.empty() || path.m_cost_ms < best.m_cost_ms))
            best = std::move(path);
    }
    if (best.m_hops.empty() && may_cross(service, std::chrono::steady_clock::now()))
    {
        query.m_domain.clear();
        best = fulmaryard::find_path(usable_candidates, query);
    }
    return best.m_hops;
}

found_path router_core::find_next_path(
    const routed_service& service, double tokens, double prefill_tokens,
    const std::vector<path_hop>& current)
{
    const auto& first = current.front();
    const auto usable_candidates = candidates(service, {first.m_endpoint});
    path_query query;
    query.m_begin = first.m_layers.m_end;
    query.m_layers = service.m_engine->m_layers;
    query.m_tokens = tokens;
    query.m_unread = prefill_tokens;
    query.m_prefill_weight = repath_prefill_weight;
    query.m_kept.assign(current.begin() + 1, current.end());
    const auto* record = find_endpoint(first.m_endpoint);
    query.m_domain = record == nullptr ? "" : record->m_failure_domain;
    auto path = fulmaryard::find_path(usable_candidates, query);
    if (path.m_hops.empty() && may_cross(service, std::chrono::steady_clock::now()))
    {
        query.m_domain.clear();
        path = fulmaryard::find_path(usable_candidates, query);
    }
    if (!path.m_hops.empty())
        path.m_hops.insert(path.m_hops.begin(), first);
    return path;
}

std::string router_core::choose_endpoint(
    const std::string& service, const std::set<std::string>& avoided, limit_draws& draws)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::tuple<std::int64_t, bool, std::string>> ranked;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_service != service || avoided.contains(id) || !usable(record))
            continue;
        const auto calls = m_plain_calls.find(id);
        // Among equally loaded endpoints, prefer one in the router's own failure domain.
        ranked.emplace_back(
            (calls == m_plain_calls.end() ? 0 : calls->second) +
                m_reservations.use(id, now).m_crossing_requests,
            record.m_failure_domain != m_settings.m_failure_domain, id);
    }
    // The first one serves nearly always; the others are ordered only as far as limits deny it.
    std::make_heap(ranked.begin(), ranked.end(), std::greater<>());
    for (auto end = ranked.end(); end != ranked.begin(); --end)
    {
        std::pop_heap(ranked.begin(), end, std::greater<>());
        const auto& id = std::get<std::string>(*std::prev(end));
        if (within_rate_limit(id, draws))
            return id;
    }
    return {};
}

} // namespace fulmaryard
