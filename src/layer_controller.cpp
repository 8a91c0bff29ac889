#include "layer_controller.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_placement.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
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
constexpr std::chrono::milliseconds lease_poll{400};

constexpr std::chrono::milliseconds store_deadline{700};
constexpr std::chrono::milliseconds report_deadline{400};

// Interval between load queries to an endpoint that is executing an order. It matches the delay
// with which the endpoint's report is updated.
constexpr std::chrono::milliseconds order_poll{120};

// Maximum number of load queries to an endpoint before its order is abandoned and planned again.
constexpr int max_order_polls = 60;

// Endpoints that start together register within one heartbeat of each other. Layers are therefore
// assigned in a domain that holds none only after its endpoints have not changed for this time.
constexpr std::chrono::milliseconds settle_time{1'300};

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
      m_lease(
          lease_holder_settings{std::move(process), lease_duration, lease_margin, lease_poll, true})
{
}

bool layer_controller::holds_lease() const
{
    return m_lease.held(boot_time());
}

void layer_controller::on_tick(steady::time_point now)
{
    step_lease();
    const bool held = holds_lease();
    if (held != m_held)
    {
        m_held = held;
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
    plan(now);
}

void layer_controller::step_lease()
{
    if (auto action = m_lease.on_tick(boot_time()))
        asio::co_spawn(m_core.m_io, carry_out_lease(std::move(*action)), asio::detached);
}

asio::awaitable<void> layer_controller::carry_out_lease(lease_action action)
{
    const std::string name = "fulmaryard/order-lease";
    std::optional<lease_action> next = std::move(action);
    while (next)
    {
        if (std::holds_alternative<read_lease>(*next))
        {
            const auto read = std::get<read_lease>(*next).m_stale_allowed ? &object_store::get_stale
                                                                          : &object_store::get;
            const auto object = co_await (m_store.*read)(name, store_deadline);
            next = m_lease.on_read(object, boot_time());
        }
        else
        {
            const auto write = std::get<write_lease>(*next);
            const auto version = co_await m_store.put(
                name, encode_lease(write.m_value), write.m_version, store_deadline);
            next = m_lease.on_written(version, boot_time());
        }
    }
}

asio::awaitable<void> layer_controller::load_plan()
{
    const auto epoch = m_lease.epoch();
    const auto object = co_await m_store.get(std::string(layer_plan_object), store_deadline);
    m_busy = false;
    if (!object.ok())
    {
        log_event(log_level::warning, "layer_plan_unreadable")
            .with("error", message_of(object.status()));
        co_return;
    }
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

bool layer_controller::settled(
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
    if (state.m_members != ids)
        state = {std::move(ids), now};
    return any_layers || now - state.m_since >= settle_time;
}

void layer_controller::plan(steady::time_point now)
{
    std::vector<std::string> changed;
    for (const auto& service : m_core.m_table->configuration().m_services)
    {
        if (!service.m_engine)
            continue;
        std::map<std::string, std::vector<placement_member>> domains;
        for (const auto& [id, record] : m_core.m_membership.endpoints())
        {
            if (record.m_service != service.m_name || !m_core.usable(record))
                continue;
            const auto* kind = service.m_engine->find_kind(record.m_accelerator);
            if (kind == nullptr)
                continue;
            const auto loaded = m_core.layers_of(record);
            const auto planned = m_plan.m_endpoints.find(id);
            const bool ordered = planned != m_plan.m_endpoints.end() &&
                                 planned->second.m_started_ms == record.m_started_ms;
            placement_member member;
            member.m_endpoint = id;
            member.m_failure_domain = record.m_failure_domain;
            member.m_memory_mb = kind->m_memory_mb;
            member.m_step_factor = kind->m_step_factor;
            member.m_layers = ordered ? planned->second.m_placed.m_layers : loaded;
            member.m_nominal_layers = ordered ? planned->second.m_placed.m_nominal_layers : 0;
            member.m_loaded = loaded;
            domains[record.m_failure_domain].push_back(std::move(member));
        }
        for (const auto& [domain, members] : domains)
        {
            if (settled(service.m_name + "/" + domain, members, now))
                plan_domain(service, members, changed);
        }
    }
    std::erase_if(
        m_plan.m_endpoints,
        [this](const auto& planned) { return m_core.find_endpoint(planned.first) == nullptr; });
    if (!changed.empty())
    {
        m_busy = true;
        asio::co_spawn(m_core.m_io, save_and_order(std::move(changed)), asio::detached);
        return;
    }
    for (const auto& [id, planned] : m_plan.m_endpoints)
    {
        const auto* record = m_core.find_endpoint(id);
        if (record != nullptr && record->m_started_ms == planned.m_started_ms &&
            m_core.usable(*record) && m_core.layers_of(*record) != planned.m_placed.m_layers)
            start_order(id);
    }
}

void layer_controller::plan_domain(
    const routed_service& service, const std::vector<placement_member>& members,
    std::vector<std::string>& changed)
{
    const auto assignment = layer_placement(*service.m_engine).plan(members);
    for (const auto& member : members)
    {
        const auto wanted = assignment.find(member.m_endpoint);
        if (wanted == assignment.end())
            continue;
        const auto layers = wanted->second.m_layers;
        m_plan.m_endpoints[member.m_endpoint] = {
            m_core.find_endpoint(member.m_endpoint)->m_started_ms, wanted->second};
        if (layers == member.m_layers)
            continue;
        log_event(log_level::info, "layers_planned")
            .with("endpoint", member.m_endpoint)
            .with("domain", member.m_failure_domain)
            .with("from", fmt::format("{}-{}", member.m_layers.m_begin, member.m_layers.m_end))
            .with("to", fmt::format("{}-{}", layers.m_begin, layers.m_end));
        changed.push_back(member.m_endpoint);
    }
}

asio::awaitable<void> layer_controller::save_and_order(std::vector<std::string> endpoints)
{
    const auto version = co_await m_store.put(
        std::string(layer_plan_object), encode_layer_plan(m_plan), m_plan_version, store_deadline);
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
    if (m_ordering.insert(endpoint).second)
        asio::co_spawn(m_core.m_io, order(endpoint), asio::detached);
}

void layer_controller::note_layers(const endpoint_record& record, layer_range layers)
{
    const std::pair reported{record.m_started_ms, layers};
    m_core.m_reported_layers[record.m_id] = reported;
    m_core.m_told_layers[record.m_id] = reported;
}

asio::awaitable<void> layer_controller::order(std::string endpoint)
{
    asio::steady_timer pause(m_core.m_io);
    for (int poll = 0; poll < max_order_polls && holds_lease(); ++poll)
    {
        const auto* record = m_core.find_endpoint(endpoint);
        const auto planned = m_plan.m_endpoints.find(endpoint);
        if (record == nullptr || planned == m_plan.m_endpoints.end() ||
            planned->second.m_started_ms != record->m_started_ms)
            break;
        const auto wanted = planned->second.m_placed.m_layers;
        const auto address = record->m_address;
        http_request query = m_core.m_protocol.write_load_query();
        const auto response =
            co_await call_endpoint(m_core.m_channels, address, std::move(query), report_deadline);
        record = m_core.find_endpoint(endpoint);
        if (record == nullptr)
            break;
        if (!response.ok())
        {
            m_core.suspect(endpoint, message_of(response.status()));
            break;
        }
        const auto load = m_core.m_protocol.read_load(*response);
        if (load.ok())
        {
            log_event(log_level::debug, "layers_reported")
                .with("endpoint", endpoint)
                .with("report", response->m_body);
            note_layers(*record, load->m_layers);
            if (load->m_layers == wanted && !load->m_busy)
                break;
        }
        if (load.ok() && !load->m_busy && holds_lease())
        {
            m_core.m_metrics.counter("fulmaryard_router_layer_orders_total").add();
            http_request order = m_core.m_protocol.write_order(wanted, load->m_orders);
            const auto answer = co_await call_endpoint(
                m_core.m_channels, address, std::move(order), report_deadline);
            log_event(log_level::info, "layers_ordered")
                .with("endpoint", endpoint)
                .with("layers", fmt::format("{}-{}", wanted.m_begin, wanted.m_end))
                .with("held", fmt::format("{}-{}", load->m_layers.m_begin, load->m_layers.m_end))
                .with("orders", load->m_orders)
                .with("status", answer.ok() ? answer->m_status : 0)
                .with("error", answer.ok() ? "" : message_of(answer.status()));
        }
        pause.expires_after(order_poll);
        co_await pause.async_wait(use_tuple);
    }
    m_ordering.erase(endpoint);
}

} // namespace fulmaryard
