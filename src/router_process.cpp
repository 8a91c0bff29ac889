#include "accepted_call.hpp"
#include "layer_controller.hpp"
#include "open_session.hpp"
#include "plain_session.hpp"
#include "router_core.hpp"
#include "router_gossip.hpp"
#include "router_streams.hpp"
#include "stream_session.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/process_lifecycle.hpp>
#include <fulmaryard/router_process.hpp>
#include <fulmaryard/settings_parser.hpp>
#include <fulmaryard/stream_id.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <exception>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

// A fraction of the time in which a new path has to be found after an endpoint is lost.
constexpr std::chrono::milliseconds tick_interval{25};

// Longest time that a connection may stay idle between requests. Callers are not told this value,
// so it is longer than any idle timeout that operators configure.
constexpr std::chrono::milliseconds caller_idle_timeout{60'000};

// A tick that is later than this is logged: the process did not run, or a handler took long.
constexpr std::chrono::milliseconds notable_loop_delay{100};

// Number of ticks in a row without a request after which a draining process exits. After it was
// held up, one pass of the event loop does not read all requests that have arrived.
constexpr int min_idle_ticks = 4;

// Requests are ended this long before SIGKILL, but not before the last sixth of the time to stop.
// Half of the margin is for the answers to these requests.
constexpr std::chrono::milliseconds max_exit_margin{400};
constexpr int exit_margin_divisor = 6;

// Requests that arrive before the first configuration and list of endpoints wait for these until
// this long after the start, at most a third of their deadline. The store normally answers within
// a few milliseconds, and a caller that comes back after a restart may have no further retry.
constexpr std::chrono::milliseconds max_start_wait{500};
constexpr int start_wait_deadline_divisor = 3;

// Retry delay sent to callers while the router has no configuration; it expects one by then.
constexpr std::chrono::milliseconds configuration_retry_after{500};

// Bounds of the retry delay while the router has no configuration and cannot reach the store. An
// outage of the store lasts for seconds; the delays are spread so that callers do not return at
// the same moment.
constexpr std::chrono::milliseconds min_outage_retry_after{2'000};
constexpr std::chrono::milliseconds max_outage_retry_after{6'000};

constexpr std::chrono::milliseconds probe_deadline{300};

// Within this time after a restoration of the store, all routers have noticed it and registered
// again; over twice the interval at which they read the list of routers.
constexpr std::chrono::milliseconds router_registration_time{5'000};

constexpr std::size_t max_header_bytes = 64 * 1024;
constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;

// Memory of a process besides what it holds of requests and answers: code, state of endpoints and
// configuration, connections, and what the allocator keeps.
constexpr std::size_t other_memory_bytes = 48'000'000;

// What requests hold where the memory of the instance is not known, or too small for more.
constexpr std::size_t default_request_memory_bytes = 48 * 1024 * 1024;
constexpr std::size_t min_request_memory_bytes = 8 * 1024 * 1024;

std::size_t request_memory_of(const router_settings& settings)
{
    if (settings.m_request_memory_bytes > 0)
        return settings.m_request_memory_bytes;
    if (settings.m_instance_memory_mb == 0)
        return default_request_memory_bytes;
    const std::size_t instance = std::size_t{settings.m_instance_memory_mb} * 1'000'000;
    const std::size_t others = settings.m_answer_memory_bytes + other_memory_bytes;
    return std::max(instance - std::min(instance, others), min_request_memory_bytes);
}

http_server_limits caller_limits(const router_settings& settings)
{
    http_server_limits limits;
    limits.m_max_header_bytes = max_header_bytes;
    limits.m_max_body_bytes = max_body_bytes;
    limits.m_max_connections = settings.m_max_connections;
    limits.m_request_memory_bytes = request_memory_of(settings);
    limits.m_idle_deadline = caller_idle_timeout;
    return limits;
}

} // namespace

class router_process::impl : public platform_listener
{
public:
    impl(
        asio::io_context& io, router_settings settings, const endpoint_protocol& protocol,
        object_store& store, settings_source reload)
        : m_io(io),
          m_settings(std::move(settings)),
          m_core(io, m_settings, protocol),
          m_streams(m_core),
          m_gossip(m_core),
          m_layers(
              m_core, store,
              fmt::format("{}/{}", m_settings.m_name, fulmaryard::to_string(make_stream_id()))),
          m_reload(std::move(reload)),
          m_lifecycle(
              [](lifecycle_phase phase) {
                  log_event(log_level::info, "lifecycle")
                      .with("phase", fulmaryard::to_string(phase));
              }),
          m_caller_server(
              io, caller_limits(m_settings),
              [this](http_exchange& exchange) { return serve(exchange); }),
          m_readiness_server(
              io, {}, [this](http_exchange& exchange) { return serve_readiness(exchange); }),
          m_inspection_server(
              io, {}, [this](http_exchange& exchange) { return serve_inspection(exchange); }),
          m_signals(io, SIGTERM, SIGHUP),
          m_tick_timer(io, steady::now()),
          m_start_timer(io, steady::time_point::max())
    {
        m_core.m_streams = &m_streams;
        m_core.m_on_capacity = [this] { m_streams.on_capacity(); };
        m_core.m_on_suspect = [this] { m_gossip.send_soon(); };
        m_core.m_on_unusual_send = [this] { m_gossip.send_early(steady::now()); };
    }

    absl::Status run()
    {
        for (auto [server, address] :
             {std::pair{&m_caller_server, &m_settings.m_listen},
              std::pair{&m_readiness_server, &m_settings.m_ready_listen},
              std::pair{&m_inspection_server, &m_settings.m_metrics_listen}})
        {
            const auto port = server->listen(*address);
            if (!port.ok())
                return port.status();
        }
        if (auto status = m_gossip.open(); !status.ok())
            return status;
        log_event(log_level::info, "router_started")
            .with("listen", m_settings.m_listen)
            .with("domain", m_settings.m_failure_domain);
        wait_for_signal();
        asio::co_spawn(m_io, tick(), asio::detached);
        m_io.run();
        log_event(log_level::info, "router_stopped").with("streams", m_streams.size());
        return absl::OkStatus();
    }

    void on_configuration(routing_configuration configuration) override
    {
        const auto version = configuration.m_version;
        if (m_core.m_table != nullptr && version <= m_core.m_table->version())
        {
            if (version < m_core.m_table->version())
            {
                log_event(log_level::warning, "configuration_refused")
                    .with("version", version)
                    .with("in_force", m_core.m_table->version());
            }
            return;
        }
        m_core.m_versions.m_configuration = version;
        if (m_core.m_is_store_reader)
            m_gossip.send_soon();
        m_core.m_table = std::make_shared<const routing_table>(std::move(configuration));
        const auto& in_force = m_core.m_table->configuration();
        m_caller_server.set_max_body_bytes(std::min<std::size_t>(
            in_force.m_max_body_bytes.value_or(max_body_bytes), max_body_bytes));
        log_event(log_level::info, "configuration_in_force")
            .with("version", version)
            .with("routes", in_force.m_routes.size())
            .with("services", in_force.m_services.size())
            .with("accounts", in_force.m_accounts.size());
        on_state_known();
    }

    void on_endpoints_listed(const std::vector<endpoint_record>& records) override
    {
        const auto before = m_core.m_membership.endpoints();
        const auto doubtful = m_core.m_membership.on_listing(records, steady::now());
        for (const auto& [id, record] : m_core.m_membership.endpoints())
        {
            const auto known = before.find(id);
            handle_record_change(known == before.end() ? nullptr : &known->second, record);
        }
        for (const auto& id : doubtful)
            asio::co_spawn(m_io, query_layers(id), asio::detached);
        log_event(log_level::info, "endpoints_listed").with("endpoints", records.size());
        m_endpoints_known = true;
        on_state_known();
        m_core.m_on_capacity();
    }

    void on_endpoint_changed(const endpoint_record& record) override
    {
        handle_record_change(m_core.find_endpoint(record.m_id), record);
        m_core.m_membership.on_changed(record);
        m_core.m_on_capacity();
    }

    void on_endpoint_removed(const std::string& id) override
    {
        log_event(log_level::info, "endpoint_removed").with("endpoint", id);
        m_core.m_membership.on_removed(id, steady::now());
    }

    void on_endpoints_revision(std::uint64_t newest, std::uint64_t read_to) override
    {
        m_core.m_endpoints_read_to = std::max(m_core.m_endpoints_read_to, read_to);
        if (newest <= m_core.m_versions.m_endpoints)
            return;
        m_core.m_versions.m_endpoints = newest;
        if (m_core.m_is_store_reader)
            m_gossip.send_soon();
    }

    bool is_store_reader() const { return m_core.m_is_store_reader; }

    void set_refresh(std::function<void(lagging_state)> refresh)
    {
        m_core.m_refresh = std::move(refresh);
    }

    void on_router_addresses(const std::vector<std::string>& addresses) override
    {
        // After a restoration of the store, routers are missing until they have registered again.
        if (steady::now() >= m_routers_complete_at)
            m_router_addresses.clear();
        m_router_addresses.insert(addresses.begin(), addresses.end());
        m_core.m_router_count = m_router_addresses.size();
        m_gossip.set_routers({m_router_addresses.begin(), m_router_addresses.end()});
    }

    void on_store_unavailable() override
    {
        log_event(log_level::warning, "store_lost").with("store", m_settings.m_platform);
        m_store_reachable = false;
        m_start_timer.cancel(); // The configuration will not arrive soon.
        m_core.m_membership.on_store_unavailable(steady::now());
    }

    void on_store_restored() override
    {
        m_core.m_metrics.counter("fulmaryard_router_store_restorations_total").add();
        m_core.m_membership.on_store_restored(steady::now());
        m_layers.on_store_restored();
        m_routers_complete_at = steady::now() + router_registration_time;
    }

    void on_store_recovered() override
    {
        log_event(log_level::info, "store_back").with("store", m_settings.m_platform);
        m_store_reachable = true;
        m_core.m_membership.on_store_recovered(steady::now());
    }

    void on_store_read(const store_read& read) override
    {
        const auto kind = to_string(read.m_state);
        const auto result = to_string(read.m_result);
        m_core.m_metrics
            .counter(
                "fulmaryard_router_store_reads_total",
                fmt::format("kind=\"{}\",result=\"{}\"", kind, result))
            .add();
        m_core.m_metrics
            .counter("fulmaryard_router_store_read_bytes_total", fmt::format("kind=\"{}\"", kind))
            .add(read.m_bytes);
        // Watches that end without a change are frequent and say nothing.
        const bool idle = read.m_result == store_read::result::answered && read.m_events == 0;
        log_event(idle ? log_level::debug : log_level::info, "store_read")
            .with("kind", kind)
            .with("call", read.m_call == store_read::call_kind::listing ? "listing" : "watch")
            .with("revision", read.m_revision)
            .with("result", result)
            .with("reason", read.m_reason)
            .with("events", read.m_events)
            .with("bytes", read.m_bytes)
            .with("first_byte_ms", read.m_first_byte_after.count())
            .with("ms", read.m_duration.count());
    }

private:
    static std::string_view to_string(store_read::state_kind kind)
    {
        return kind == store_read::state_kind::configuration ? "configuration" : "endpoints";
    }

    static std::string_view to_string(store_read::result result)
    {
        constexpr std::array<std::string_view, 3> names{"answered", "failed", "given_up"};
        return names[static_cast<std::size_t>(result)];
    }

    /// Whether the router can route requests: it knows a configuration and the endpoints.
    bool state_known() const { return m_core.m_table != nullptr && m_endpoints_known; }

    /// Reports ready and resumes waiting requests once the router can route them.
    void on_state_known()
    {
        if (!state_known())
            return;
        m_lifecycle.become_ready();
        m_start_timer.cancel();
    }

    /// Waits until the router can route requests, while that is expected soon.
    asio::awaitable<void> wait_for_state(std::chrono::milliseconds deadline)
    {
        if (state_known() || !m_store_reachable)
            co_return;
        auto end = m_started_at + max_start_wait;
        if (deadline.count() > 0)
            end = std::min(end, steady::now() + deadline / start_wait_deadline_divisor);
        asio::steady_timer limit(m_io, end);
        limit.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    m_start_timer.cancel();
            });
        while (!state_known() && m_store_reachable && steady::now() < end)
            co_await m_start_timer.async_wait(use_tuple);
    }

    /// Retry delay of a request that arrived before the first configuration.
    std::chrono::milliseconds start_retry_after()
    {
        if (m_store_reachable)
            return configuration_retry_after;
        const auto spread = max_outage_retry_after - min_outage_retry_after;
        return min_outage_retry_after +
               std::chrono::milliseconds(
                   m_core.random_value() % static_cast<std::uint64_t>(spread.count()));
    }

    /// Discards reported layers that `record` supersedes, and logs a changed entry.
    void handle_record_change(const endpoint_record* before, const endpoint_record& record)
    {
        if (before != nullptr && *before == record)
            return;
        // An entry with other layers, or of a restarted endpoint, is newer than the reported
        // layers.
        if (before == nullptr || before->m_layers != record.m_layers ||
            before->m_started_ms != record.m_started_ms)
        {
            m_core.m_reported_layers.erase(record.m_id);
            m_core.m_observed_layers.erase(record.m_id);
        }
        log_event(log_level::info, "endpoint_changed")
            .with("endpoint", record.m_id)
            .with("service", record.m_service)
            .with("address", record.m_address)
            .with("domain", record.m_failure_domain)
            .with("accelerator", record.m_accelerator)
            .with("layers", fmt::format("{}-{}", record.m_layers.m_begin, record.m_layers.m_end))
            .with("leaving", record.m_leaving)
            .with("started_ms", record.m_started_ms);
    }

    /// Parses, authorizes and routes a request; refuses one without a route or a valid key, and any
    /// while there is no configuration.
    asio::awaitable<void> serve(http_exchange& exchange)
    {
        const auto arrival = steady::now();
        auto call = m_core.m_protocol.read_call(exchange.request());
        if (!call.ok())
        {
            http_response bad{400, {}, {}};
            std::ignore = co_await exchange.respond(std::move(bad));
            co_return;
        }
        co_await wait_for_state(call->m_deadline);
        const auto table = m_core.m_table;
        unsigned refusal_status = 0;
        std::string reason;
        const service_route* route = nullptr;
        const routing_account* account = nullptr;
        if (table == nullptr)
        {
            refusal_status = 503;
            reason = "no configuration yet";
        }
        else
        {
            route = table->find_route(call->m_host, target_path(call->m_request.m_target));
            account = table->find_account(call->m_key);
            if (route == nullptr)
            {
                refusal_status = 404;
                reason = "no route";
            }
            else if (account == nullptr && table->needs_key() && !route->m_public)
            {
                refusal_status = 401;
                reason = "unknown key";
            }
        }
        if (refusal_status != 0)
        {
            log_event(log_level::info, "request_rejected")
                .with("request", call->m_id)
                .with("status", refusal_status)
                .with("reason", reason)
                .with("host", call->m_host)
                .with("target", call->m_request.m_target)
                .with("version", table == nullptr ? 0 : table->version());
            m_core.m_metrics
                .counter(
                    "fulmaryard_router_rejections_total",
                    fmt::format("status=\"{}\"", refusal_status))
                .add();
            auto response = m_core.m_protocol.refusal(
                *call, refusal_status,
                refusal_status == 503 ? start_retry_after() : std::chrono::milliseconds(0));
            std::ignore = co_await exchange.respond(std::move(response));
            co_return;
        }
        accepted_call accepted;
        accepted.m_call = *std::move(call);
        accepted.m_call.m_request.m_body = exchange.take_body();
        accepted.m_route = *route;
        accepted.m_service = table->choose_service(*route, m_core.random_value());
        accepted.m_account = account == nullptr ? "" : account->m_name;
        accepted.m_rank = request_rank::of(
            account == nullptr ? std::nullopt : account->m_priority, route->m_priority);
        accepted.m_arrival = arrival;
        auto time_limit = route->m_timeout;
        if (accepted.m_call.m_deadline.count() > 0)
            time_limit = std::min(time_limit, accepted.m_call.m_deadline);
        accepted.m_end = arrival + time_limit;
        const auto* service = table->find_service(accepted.m_service);
        const bool has_pipeline = service != nullptr && service->m_engine;
        // A streaming route may send some of its requests to a service without pipelines.
        const bool is_stream = has_pipeline || accepted.m_route.m_kind == call_kind::streaming;
        if (m_refuses_long_requests ||
            (m_core.m_drain_start && is_stream && m_core.has_other_routers()))
            accepted.m_shutdown_deadline = m_exit_deadline;
        const auto id = accepted.m_call.m_id;
        try
        {
            if (is_stream)
            {
                stream_session session(m_core, exchange, std::move(accepted));
                co_await session.run();
            }
            else
            {
                plain_session session(m_core, exchange, std::move(accepted));
                co_await session.run();
            }
        }
        catch (const std::exception& error)
        {
            log_event(log_level::error, "request_failed")
                .with("request", id)
                .with("connection", exchange.connection())
                .with("error", error.what());
            throw;
        }
    }

    asio::awaitable<void> serve_readiness(http_exchange& exchange)
    {
        const bool ready = m_lifecycle.phase() == lifecycle_phase::ready;
        http_response response{ready ? 200U : 503U, {}, {}};
        std::ignore = co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> serve_inspection(http_exchange& exchange)
    {
        http_response response{200, {{"Content-Type", "text/plain"}}, {}};
        if (target_path(exchange.request().m_target) == "/metrics")
            response.m_body = m_core.m_metrics.expose() + expose_state();
        else if (target_path(exchange.request().m_target) == "/dump")
            response.m_body = dump();
        else
            response.m_status = 404;
        std::ignore = co_await exchange.respond(std::move(response));
    }

    /// Returns the gauges of the router's state in the Prometheus text format.
    std::string expose_state() const
    {
        const auto now = steady::now();
        const std::pair<std::string_view, std::uint64_t> gauges[] = {
            {"streams", m_streams.size()},
            {"waiting", m_core.m_wait_queue.size()},
            {"endpoints", m_core.m_membership.endpoints().size()},
            {"routers", m_core.m_router_count},
            {"suspected", m_core.m_health.own().size()},
            {"slow", m_core.m_health.slow(now).size()},
            {"idle_connections", m_core.m_channels.idle()},
            {"answer_bytes", m_core.m_answer_memory.used()},
            {"request_bytes", m_caller_server.request_bytes()},
            {"configuration_version", m_core.m_table == nullptr ? 0 : m_core.m_table->version()},
            {"lease_held", m_layers.holds_lease() ? 1 : 0},
            {"store_reachable", m_store_reachable ? 1 : 0}};
        std::string text = "# TYPE fulmaryard_router_state gauge\n";
        for (const auto& [of, value] : gauges)
            text += fmt::format("fulmaryard_router_state{{of=\"{}\"}} {}\n", of, value);
        return text;
    }

    /// Returns the state of each endpoint as this process knows it, one line per endpoint.
    std::string dump() const
    {
        const auto now = steady::now();
        std::string text;
        for (const auto& [id, record] : m_core.m_membership.endpoints())
        {
            const auto use = m_core.m_reservations.use(id, now);
            const auto layers = m_core.layers_of(record);
            text += fmt::format(
                "endpoint={} service={} address={} domain={} layers={}-{} leaving={} suspected={} "
                "pace={} memory={:.0f} unread={:.0f} firsts={} parts={}\n",
                id, record.m_service, record.m_address, record.m_failure_domain, layers.m_begin,
                layers.m_end, record.m_leaving,
                m_core.m_health.suspected(id, record.m_started_ms, now),
                m_core.m_health.slowdown(id, now), use.m_kv_token_layers, use.m_unread,
                use.m_starting_requests, use.m_crossing_requests);
        }
        return text;
    }

    asio::awaitable<void> tick()
    {
        while (!m_stopped)
        {
            const auto now = steady::now();
            record_loop_delay(now - m_tick_timer.expiry());
            if (m_core.m_membership.on_tick(now))
                log_event(log_level::info, "endpoints_expired");
            m_core.m_refusals.on_tick(now);
            m_core.m_quarantine.on_tick(now);
            m_core.m_notices.on_tick(now);
            m_core.m_rate_limits.on_tick(now);
            m_core.update_silent_domains(now);
            m_streams.on_tick(now);
            m_gossip.on_tick(now);
            m_layers.on_tick(now);
            m_core.m_channels.on_tick(now);
            for (const auto& endpoint : m_core.m_health.take_due_probes(now))
                asio::co_spawn(m_io, probe(endpoint), asio::detached);
            m_tick_timer.expires_after(tick_interval);
            co_await m_tick_timer.async_wait(use_tuple);
        }
    }

    void record_loop_delay(steady::duration delay)
    {
        if (delay < notable_loop_delay)
            return;
        m_core.m_metrics.histogram("fulmaryard_router_loop_delay_seconds").record(delay);
        log_event(log_level::info, "loop_delayed")
            .with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count())
            .with("streams", m_streams.size());
    }

    /// Asks an endpoint for its layers, since its entry may be older than what is known of it. Its
    /// answer also says whether it leaves.
    asio::awaitable<void> query_layers(std::string endpoint)
    {
        http_request query = m_core.m_protocol.write_load_query();
        const auto* before = m_core.find_endpoint(endpoint);
        const auto started_ms = before == nullptr ? 0 : before->m_started_ms;
        const auto response = co_await m_core.call(endpoint, std::move(query), probe_deadline);
        const auto* record = m_core.find_endpoint(endpoint);
        if (!response.ok() || record == nullptr || record->m_started_ms != started_ms)
            co_return;
        const auto load = m_core.m_protocol.read_load(*response);
        if (load.ok() && !record->m_accelerator.empty())
            m_core.m_reported_layers[endpoint] = {record->m_started_ms, load->m_layers};
    }

    /// Queries a suspected endpoint and clears the suspicion when it answers or is no longer
    /// listed.
    asio::awaitable<void> probe(std::string endpoint)
    {
        const auto* record = m_core.find_endpoint(endpoint);
        if (record == nullptr)
        {
            m_core.clear_suspicion(endpoint);
            co_return;
        }
        http_request query = m_core.m_protocol.write_load_query();
        const auto response = co_await m_core.call(endpoint, std::move(query), probe_deadline);
        if (!response.ok())
        {
            // The endpoint may have ended since it fell silent.
            if (kind_of(response.status()) == failure_kind::connection_refused)
                m_core.suspect_after(endpoint, response.status());
            co_return;
        }
        m_core.clear_suspicion(endpoint);
        if (const auto load = m_core.m_protocol.read_load(*response); load.ok())
            m_core.record_pace(endpoint, load->m_slowdown, true);
    }

    void wait_for_signal()
    {
        m_signals.async_wait(
            [this](const boost::system::error_code& error, int signal)
            {
                if (error)
                    return;
                if (signal == SIGTERM)
                    asio::co_spawn(m_io, drain(), asio::detached);
                else
                    reload();
                wait_for_signal();
            });
    }

    void reload()
    {
        const auto reloaded = m_reload();
        if (!reloaded.ok())
        {
            log_event(log_level::error, "settings_refused")
                .with("error", message_of(reloaded.status()));
            return;
        }
        const auto kept = reload_router_settings(m_settings, *reloaded);
        set_log_level(parse_log_level(m_settings.m_log_level));
        log_event(log_level::info, "settings_reloaded").with("grace_ms", m_settings.m_grace_ms);
        if (!kept.empty())
        {
            log_event(log_level::warning, "settings_kept")
                .with("until_restart", fmt::format("{}", fmt::join(kept, ",")));
        }
        // SIGKILL may come sooner than expected when the drain began, but not later.
        if (m_core.m_drain_start)
            m_exit_deadline = std::min(m_exit_deadline, exit_deadline(*m_core.m_drain_start));
    }

    /// When requests are ended if the drain began at `start`.
    steady::time_point exit_deadline(steady::time_point start) const
    {
        return start + std::chrono::milliseconds(m_settings.m_grace_ms) - exit_margin();
    }

    /// Time before SIGKILL in which requests are ended.
    std::chrono::milliseconds exit_margin() const
    {
        const std::chrono::milliseconds grace(m_settings.m_grace_ms);
        return std::min(max_exit_margin, grace / exit_margin_divisor);
    }

    asio::awaitable<void> drain()
    {
        if (!m_lifecycle.begin_drain())
            co_return;
        const auto start = steady::now();
        m_core.m_drain_start = start;
        m_gossip.send_soon();
        m_exit_deadline = exit_deadline(start);
        m_caller_server.disable_keep_alive();
        asio::steady_timer timer(m_io);
        int idle_ticks = 0;
        while (steady::now() < m_exit_deadline)
        {
            // A load balancer that has no other router in the failure domain keeps sending here.
            m_refuses_long_requests = steady::now() >= start + router_core::min_drain_time;
            idle_ticks = m_caller_server.active_exchanges() == 0 ? idle_ticks + 1 : 0;
            if (m_refuses_long_requests && idle_ticks >= min_idle_ticks)
                break;
            timer.expires_after(tick_interval);
            co_await timer.async_wait(use_tuple);
        }
        // The callers that are left learn what became of their requests; new ones are refused.
        m_refuses_long_requests = true;
        const auto exit = m_exit_deadline + exit_margin() / 2;
        while (m_caller_server.active_exchanges() > 0 && steady::now() < exit)
        {
            // Also those that were read meanwhile and wait for an endpoint.
            for (auto* session : m_core.m_open_sessions)
                session->end();
            timer.expires_after(tick_interval);
            co_await timer.async_wait(use_tuple);
        }
        m_caller_server.stop_accepting();
        m_lifecycle.finish_drain();
        m_stopped = true;
        m_io.stop();
    }

    asio::io_context& m_io;
    router_settings m_settings;
    router_core m_core;
    router_streams m_streams;
    router_gossip m_gossip;
    layer_controller m_layers;
    settings_source m_reload;
    process_lifecycle m_lifecycle;
    http_server m_caller_server;
    http_server m_readiness_server;
    http_server m_inspection_server;
    asio::signal_set m_signals;
    asio::steady_timer m_tick_timer;
    /// Never expires; cancelled to resume requests that wait for the first configuration.
    asio::steady_timer m_start_timer;
    steady::time_point m_started_at{steady::now()};
    bool m_endpoints_known{false};
    /// Refuses all requests that may outlast the process; streams are refused sooner.
    bool m_refuses_long_requests{false};
    steady::time_point m_exit_deadline; ///< Latest exit time; set when the drain begins.
    bool m_stopped{false};
    bool m_store_reachable{true};
    std::set<std::string> m_router_addresses;
    steady::time_point m_routers_complete_at; ///< Until then, a listing may lack routers.
};

router_process::router_process(
    asio::io_context& io, router_settings settings, const endpoint_protocol& protocol,
    object_store& store, settings_source reload)
    : m_impl(std::make_unique<impl>(io, std::move(settings), protocol, store, std::move(reload)))
{
}

router_process::~router_process() = default;

platform_listener& router_process::listener()
{
    return *m_impl;
}

bool router_process::is_store_reader() const
{
    return m_impl->is_store_reader();
}

void router_process::set_refresh(std::function<void(lagging_state)> refresh)
{
    m_impl->set_refresh(std::move(refresh));
}

absl::Status router_process::run()
{
    return m_impl->run();
}

} // namespace fulmaryard
