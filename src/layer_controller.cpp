#include "layer_controller.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_balancer.hpp>
#include <fulmaryard/layer_placement.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ctime>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// If the lease holder fails, its lease expires after this time, so that another router takes over
// within 2 s.
constexpr std::chrono::milliseconds lease_duration{1'300};
constexpr std::chrono::milliseconds lease_margin{200};
constexpr std::chrono::milliseconds lease_poll_interval{400};

constexpr std::chrono::milliseconds store_timeout{700};
constexpr std::chrono::milliseconds endpoint_timeout{400};

// Interval between two comparisons of the plan with the endpoints.
constexpr std::chrono::milliseconds plan_interval{75};

// Interval between load queries to an endpoint that is executing an order. It matches the delay
// with which the endpoint's report is updated.
constexpr std::chrono::milliseconds order_poll_interval{120};

// Number of load queries after an accepted order whose reports may be older than the order.
constexpr int max_stale_polls = 5;

constexpr unsigned accepted_status = 202;

// Maximum number of load queries to an endpoint before its order is abandoned and planned again.
constexpr int max_order_polls = 60;

/// Monotonic time that, unlike `steady_clock`, includes the time during which the machine is
/// suspended.
steady::time_point boot_time()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return steady::time_point(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

bool empty(layer_range layers)
{
    return layers.m_begin >= layers.m_end;
}

} // namespace

layer_controller::layer_controller(router_core& core, object_store& store, std::string process)
    : m_core(core),
      m_store(store),
      m_lease(lease_holder_settings{
          std::move(process), lease_duration, lease_margin, lease_poll_interval, true})
{
}

bool layer_controller::holds_lease() const
{
    return m_lease.held(boot_time());
}

void layer_controller::on_store_restored()
{
    m_lease.on_store_restored(boot_time());
    m_loaded_epoch = 0;
    m_plan_outdated = true;
}

void layer_controller::on_tick(steady::time_point now)
{
    advance_lease();
    const bool held = holds_lease();
    if (held != m_lease_held)
    {
        m_lease_held = held;
        log_event(log_level::info, held ? "order_lease_won" : "order_lease_lost")
            .with("epoch", m_lease.epoch());
    }
    if (!held || m_busy || m_core.m_table == nullptr)
        return;
    if (m_loaded_epoch != m_lease.epoch())
    {
        m_busy = true;
        asio::co_spawn(m_core.m_io, load_plan(), asio::detached);
        return;
    }
    if (now < m_next_plan)
        return;
    m_next_plan = now + plan_interval;
    plan(now);
}

void layer_controller::advance_lease()
{
    if (!m_core.m_is_store_reader && !holds_lease())
        return;
    if (auto action = m_lease.on_tick(boot_time()))
        asio::co_spawn(m_core.m_io, run_lease_actions(std::move(*action)), asio::detached);
}

asio::awaitable<void> layer_controller::run_lease_actions(lease_action action)
{
    const std::string name = "fulmaryard/order-lease";
    std::optional<lease_action> next = std::move(action);
    while (next)
    {
        if (std::holds_alternative<read_lease>(*next))
        {
            const auto read = std::get<read_lease>(*next).m_allow_stale ? &object_store::get_stale
                                                                        : &object_store::get;
            const auto object = co_await (m_store.*read)(name, store_timeout);
            next = m_lease.on_read(object, boot_time());
        }
        else
        {
            const auto write = std::get<write_lease>(*next);
            const auto version = co_await m_store.put(
                name, encode_lease(write.m_value), write.m_version, store_timeout);
            next = m_lease.on_written(version, boot_time());
        }
    }
}

asio::awaitable<void> layer_controller::load_plan()
{
    const auto epoch = m_lease.epoch();
    const auto object = co_await m_store.get(std::string(layer_plan_object_key), store_timeout);
    m_busy = false;
    if (!holds_lease())
        co_return;
    if (!object.ok())
    {
        log_event(log_level::warning, "layer_plan_unreadable")
            .with("error", message_of(object.status()));
        co_return;
    }
    if (m_plan_outdated)
        co_return co_await discard_plan(*object, epoch);
    layer_plan plan;
    if (object->m_version != 0)
    {
        const auto decoded = decode_layer_plan(object->m_value);
        if (decoded.ok())
            plan = *decoded;
        else
        {
            // Continue with an empty plan: endpoints report the layers that they hold, so only
            // orders in progress are lost.
            log_event(log_level::error, "layer_plan_unreadable")
                .with("error", message_of(decoded.status()));
        }
    }
    m_plan = std::move(plan);
    m_plan.m_epoch = epoch;
    m_plan_version = object->m_version;
    m_loaded_epoch = epoch;
    log_event(log_level::info, "layer_plan_read")
        .with("version", m_plan_version)
        .with("endpoints", m_plan.m_endpoints.size())
        .with("epoch", epoch);
}

asio::awaitable<void> layer_controller::discard_plan(platform_object stored, std::uint64_t epoch)
{
    layer_plan empty;
    empty.m_epoch = epoch;
    m_busy = true;
    const auto version = co_await m_store.put(
        std::string(layer_plan_object_key), encode_layer_plan(empty), stored.m_version,
        store_timeout);
    m_busy = false;
    if (!version.ok())
    {
        log_event(log_level::warning, "layer_plan_not_written")
            .with("error", message_of(version.status()));
        co_return;
    }
    if (!holds_lease() || m_lease.epoch() != epoch)
        co_return;
    m_plan_outdated = false;
    m_plan = std::move(empty);
    m_plan_version = *version;
    m_loaded_epoch = epoch;
}

bool layer_controller::membership_stable(
    const std::string& domain, const std::vector<placement_member>& members, steady::time_point now)
{
    std::vector<std::string> ids;
    bool any_layers = false;
    for (const auto& member : members)
    {
        ids.push_back(member.m_endpoint);
        any_layers = any_layers || !empty(member.m_layers);
    }
    auto& state = m_domains[domain];
    if (state.m_settling.members() != ids)
        state = {state.m_settling, {}, false, -1};
    // Layers are assigned in a domain that holds none only once its endpoints have registered.
    return state.m_settling.settled(std::move(ids), now) || any_layers;
}

void layer_controller::plan(steady::time_point now)
{
    std::vector<std::string> changed_endpoints;
    for (const auto& service : m_core.m_table->configuration().m_services)
    {
        if (!service.m_engine)
            continue;
        std::map<std::string, std::vector<placement_member>> domains;
        for (const auto& [id, record] : m_core.m_membership.endpoints())
        {
            if (record.m_service != service.m_name || !m_core.plannable(record))
                continue;
            const auto* kind = service.m_engine->find_accelerator_kind(record.m_accelerator);
            if (kind == nullptr)
                continue;
            const auto loaded = m_core.layers_of(record);
            const auto planned = m_plan.m_endpoints.find(id);
            const bool has_plan = planned != m_plan.m_endpoints.end() &&
                                  planned->second.m_started_ms == record.m_started_ms;
            placement_member member;
            member.m_endpoint = id;
            member.m_failure_domain = record.m_failure_domain;
            member.m_memory_mb = kind->m_memory_mb;
            member.m_step_factor = kind->m_step_factor;
            member.m_layers = has_plan ? planned->second.m_target.m_layers : loaded;
            member.m_nominal_layers = has_plan ? planned->second.m_target.m_nominal_layers : 0;
            member.m_loaded = loaded;
            domains[record.m_failure_domain].push_back(std::move(member));
        }
        for (const auto& [domain, members] : domains)
        {
            if (membership_stable(service.m_name + "/" + domain, members, now))
                plan_domain(service, members, changed_endpoints);
        }
    }
    std::erase_if(
        m_plan.m_endpoints,
        [this](const auto& planned) { return m_core.find_endpoint(planned.first) == nullptr; });
    if (!changed_endpoints.empty())
    {
        m_busy = true;
        asio::co_spawn(
            m_core.m_io, save_plan_and_order(std::move(changed_endpoints)), asio::detached);
        return;
    }
    for (const auto& [id, planned] : m_plan.m_endpoints)
    {
        const auto* record = m_core.find_endpoint(id);
        if (record != nullptr && record->m_started_ms == planned.m_started_ms &&
            m_core.plannable(*record) && m_core.layers_of(*record) != planned.m_target.m_layers)
            start_order(id);
    }
}

void layer_controller::plan_domain(
    const routed_service& service, const std::vector<placement_member>& members,
    std::vector<std::string>& changed_endpoints)
{
    auto& state = m_domains[service.m_name + "/" + members.front().m_failure_domain];
    const layer_balancer balancer(*service.m_engine);
    const bool is_short = balancer.is_short(members, reserved_tokens(members));
    if (state.m_settled == members && state.m_settled_short == is_short)
        return;
    auto assignment = layer_placement(*service.m_engine).plan(members);
    if (!balance(balancer, state, members, assignment))
    {
        state.m_settled = members;
        state.m_settled_short = is_short;
    }
    for (const auto& member : members)
    {
        const auto target = assignment.find(member.m_endpoint);
        if (target == assignment.end())
            continue;
        const auto layers = target->second.m_layers;
        m_plan.m_endpoints[member.m_endpoint] = {
            m_core.find_endpoint(member.m_endpoint)->m_started_ms, target->second};
        if (layers == member.m_layers)
            continue;
        log_event(log_level::info, "layers_planned")
            .with("endpoint", member.m_endpoint)
            .with("domain", member.m_failure_domain)
            .with("from", fmt::format("{}-{}", member.m_layers.m_begin, member.m_layers.m_end))
            .with("to", fmt::format("{}-{}", layers.m_begin, layers.m_end));
        changed_endpoints.push_back(member.m_endpoint);
    }
}

bool layer_controller::balance(
    const layer_balancer& balancer, domain_state& state,
    const std::vector<placement_member>& members, layer_assignment& assignment)
{
    for (const auto& member : members)
    {
        const auto target = assignment.find(member.m_endpoint);
        const auto layers = target == assignment.end() ? layer_range{} : target->second.m_layers;
        if (layers != member.m_layers || m_active_orders.contains(member.m_endpoint))
            return true; // Lost layers are assigned and loaded before others move.
    }
    if (state.m_ideal_throughput < 0)
        state.m_ideal_throughput = balancer.ideal_throughput(members);
    const auto change =
        balancer.next_change(members, state.m_ideal_throughput, reserved_tokens(members));
    if (!change)
        return false;
    assignment[change->m_endpoint] = {change->m_layers, change->m_nominal_layers};
    return true;
}

double layer_controller::reserved_tokens(const std::vector<placement_member>& members) const
{
    const auto now = steady::now();
    std::map<std::uint32_t, double> tokens; ///< By layer.
    for (const auto& member : members)
    {
        const auto layers = member.m_layers;
        const double used = m_core.m_reservations.use(member.m_endpoint, now).m_kv_token_layers;
        for (auto layer = layers.m_begin; layer < layers.m_end; ++layer)
            tokens[layer] += used / (layers.m_end - layers.m_begin);
    }
    double most = 0;
    for (const auto& [layer, used] : tokens)
        most = std::max(most, used);
    return most;
}

asio::awaitable<void> layer_controller::save_plan_and_order(std::vector<std::string> endpoints)
{
    const auto version = co_await m_store.put(
        std::string(layer_plan_object_key), encode_layer_plan(m_plan), m_plan_version,
        store_timeout);
    m_busy = false;
    if (!version.ok())
    {
        log_event(log_level::warning, "layer_plan_not_written")
            .with("error", message_of(version.status()));
        // Read the plan again: this write may have taken effect, or another router may have
        // written.
        m_loaded_epoch = 0;
        co_return;
    }
    m_plan_version = *version;
    for (const auto& endpoint : endpoints)
        start_order(endpoint);
}

void layer_controller::start_order(const std::string& endpoint)
{
    if (m_active_orders.insert(endpoint).second)
        asio::co_spawn(m_core.m_io, order(endpoint), asio::detached);
}

void layer_controller::record_reported_layers(const endpoint_record& record, layer_range layers)
{
    const std::pair reported{record.m_started_ms, layers};
    m_core.m_reported_layers[record.m_id] = reported;
    m_core.m_observed_layers[record.m_id] = reported;
}

asio::awaitable<void> layer_controller::order(std::string endpoint)
{
    asio::steady_timer poll_timer(m_core.m_io);
    std::optional<std::uint64_t> accepted_after; ///< Order count before the last accepted order.
    int resend_poll = 0;
    for (int poll = 0; poll < max_order_polls && holds_lease(); ++poll)
    {
        const auto* record = m_core.find_endpoint(endpoint);
        const auto planned = m_plan.m_endpoints.find(endpoint);
        if (record == nullptr || planned == m_plan.m_endpoints.end() ||
            planned->second.m_started_ms != record->m_started_ms)
            break;
        const auto target = planned->second.m_target.m_layers;
        const auto started_ms = record->m_started_ms;
        http_request query = m_core.m_protocol.write_load_query();
        const auto response = co_await m_core.call(endpoint, std::move(query), endpoint_timeout);
        record = m_core.find_endpoint(endpoint);
        // A report of one run says nothing of the next.
        if (record == nullptr || record->m_started_ms != started_ms)
            break;
        if (!response.ok())
        {
            m_core.suspect_after(endpoint, response.status());
            break;
        }
        const auto load = m_core.m_protocol.read_load(*response);
        if (load.ok())
        {
            log_event(log_level::debug, "layers_reported")
                .with("endpoint", endpoint)
                .with("report", response->m_body);
            record_reported_layers(*record, load->m_layers);
            if (load->m_layers == target && !load->m_busy)
                break;
        }
        // A report that still has the order count from before the accepted order is older than it.
        const bool stale =
            load.ok() && accepted_after == load->m_orders_begun && poll < resend_poll;
        if (load.ok() && !load->m_busy && !stale && holds_lease())
        {
            m_core.m_metrics.counter("fulmaryard_router_layer_orders_total").add();
            http_request order = m_core.m_protocol.write_order(target, load->m_orders_begun);
            const auto order_response =
                co_await m_core.call(endpoint, std::move(order), endpoint_timeout);
            log_event(log_level::info, "layers_ordered")
                .with("endpoint", endpoint)
                .with("layers", fmt::format("{}-{}", target.m_begin, target.m_end))
                .with("held", fmt::format("{}-{}", load->m_layers.m_begin, load->m_layers.m_end))
                .with("orders", load->m_orders_begun)
                .with("status", order_response.ok() ? order_response->m_status : 0)
                .with("error", order_response.ok() ? "" : message_of(order_response.status()));
            if (order_response.ok() && order_response->m_status == accepted_status)
            {
                accepted_after = load->m_orders_begun;
                resend_poll = poll + max_stale_polls;
            }
        }
        poll_timer.expires_after(order_poll_interval);
        co_await poll_timer.async_wait(use_tuple);
    }
    m_active_orders.erase(endpoint);
}

} // namespace fulmaryard
