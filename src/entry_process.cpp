#include "account_usage_exchange.hpp"
#include "entry_services.hpp"
#include "entry_status.hpp"
#include "instance_watcher.hpp"
#include "request_dispatcher.hpp"
#include "request_record.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/administration_api.hpp>
#include <fulmaryard/configuration_controller.hpp>
#include <fulmaryard/configuration_follower.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/configuration_store.hpp>
#include <fulmaryard/entry_process.hpp>
#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/order_controller.hpp>
#include <fulmaryard/peer_links.hpp>
#include <fulmaryard/peer_listener.hpp>
#include <fulmaryard/platform_client.hpp>
#include <fulmaryard/process_lifecycle.hpp>
#include <fulmaryard/readiness_gate.hpp>
#include <fulmaryard/request_filter.hpp>
#include <fulmaryard/watcher_election.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <csignal>
#include <thread>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
/// Interval between queries for the configuration generation of the configured peers.
constexpr std::chrono::milliseconds peer_query_interval{500};
/// Minimum drain time. New requests are still served for this long after SIGTERM, because a load
/// balancer keeps sending them until its next check of `/readyz`, and requests already on their way
/// must get a response. Covers two checks at an interval of one second.
constexpr std::chrono::milliseconds min_drain_time{2000};
/// Part of the drain limit that is reserved for answers to the requests that are still open then.
constexpr std::chrono::milliseconds final_answer_time{200};
/// A repeatable call that is ended may be sent to another side process, and is then ended again; a
/// request may become a stream after the streams were ended.
constexpr std::chrono::milliseconds final_answer_interval{10};
constexpr std::size_t max_peer_body_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_dumped_endpoints = 1000;

http_response text_response(unsigned status, std::string body, std::string type = "text/plain")
{
    http_response response;
    response.m_status = status;
    response.m_fields = {{"Content-Type", std::move(type)}};
    response.m_body = std::move(body);
    return response;
}

double to_seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

http_server_limits caller_limits(const entry_settings& settings)
{
    http_server_limits limits;
    limits.m_max_body_bytes = settings.m_max_body_bytes;
    limits.m_max_connections = settings.m_max_connections;
    limits.m_request_memory_bytes = settings.m_request_memory_bytes;
    limits.m_request_deadline = std::chrono::milliseconds(settings.m_request_deadline_ms);
    return limits;
}

http_server_limits peer_limits()
{
    http_server_limits limits;
    limits.m_max_body_bytes = max_peer_body_bytes;
    return limits;
}

} // namespace

class entry_process::impl : public peer_listener
{
public:
    explicit impl(entry_settings settings)
        : m_threads(std::max(settings.m_threads, 1U)),
          m_io(static_cast<int>(m_threads)),
          m_process(fmt::format("{}/{}", settings.m_name, fulmaryard::to_string(make_stream_id()))),
          m_services(std::make_shared<entry_services>(std::move(settings), m_process, m_metrics)),
          m_filters(make_request_filters(m_services->m_rejecting_requests)),
          m_platform(m_io.get_executor(), m_services->m_settings.m_platform),
          m_status(
              *m_services, m_configuration, [this] { return m_controller.platform_reachable(); },
              [this] { return status(); }),
          m_store(m_platform),
          m_orders(m_io.get_executor(), m_platform, m_process),
          m_administration(
              m_services->m_settings.m_administrators, m_store, m_configuration, m_status,
              m_orders),
          m_controller(m_io.get_executor(), m_platform, m_configuration),
          m_follower(m_io.get_executor(), m_configuration, nullptr),
          m_usage_exchange(std::make_shared<account_usage_exchange>(
              m_io.get_executor(), m_services->m_gate, m_services->m_settings.advertised_address(),
              m_services->m_settings.m_peers, [this] { return m_configuration.generation(); },
              [this](const std::string& address, std::uint64_t generation)
              {
                  m_status.record_entry_report(address, generation);
                  m_follower.on_peer_generation(address, generation);
              })),
          m_instances(
              m_io.get_executor(), m_platform, m_services->m_settings.advertised_address(),
              [this](const instance_list& list) { on_instance_list(list); }),
          m_links(
              m_io, [this] { return own_hello(); }, *this),
          m_callers(
              m_io, caller_limits(m_services->m_settings),
              [this](http_exchange& exchange) { return serve_caller(exchange); }),
          m_peers(
              m_io, peer_limits(), [this](http_exchange& exchange) { return serve_peer(exchange); },
              [this](auto socket, auto request)
              { m_links.accept(std::move(socket), std::move(request)); }),
          m_signals(m_io, SIGTERM, SIGINT)
    {
        m_services->m_send = [this](const std::string& address, const peer_message& message)
        { m_links.send(address, message); };
        add_configuration_methods(m_rpc, m_configuration);
        m_usage_exchange->serve(m_rpc);
        m_instances.serve(m_rpc, [this] { return m_configuration.generation(); });
    }

    ~impl() override
    {
        m_links.stop();
        m_follower.stop();
        // Suspended coroutines are destroyed with the I/O context, after the links, and must not
        // use them.
        m_services->m_send = [](const std::string&, const peer_message&) {};
    }

    absl::Status run();
    std::string status() const;

    void on_peer_up(const hello& peer) override
    {
        record_peer(peer);
        if (peer.m_role == "side")
            m_services->m_directory.on_peer_up(peer);
        m_services->m_calls.fail_replaced(peer.m_address, peer.m_process);
        m_services->m_streams.on_peer_connected(peer);
    }

    void on_peer_down(const std::string& address) override
    {
        m_services->m_directory.on_peer_down(address);
        m_services->m_calls.fail_peer(address);
        m_services->m_streams.on_peer_down(address);
    }

    void on_peer_hello(const hello& peer) override
    {
        record_peer(peer);
        if (peer.m_role == "side" && m_services->m_directory.on_peer_hello(peer))
            m_links.pin(peer.m_address);
        m_services->m_streams.on_peer_connected(peer);
    }

    void on_peer_message(const hello& from, peer_message message) override
    {
        if (const auto* const report = std::get_if<load_report>(&message))
        {
            // Ignores a report for an address other than the sender's, which would direct work to
            // that address.
            if (report->m_address != from.m_address)
                return;
            m_services->m_directory.on_load_report(*report);
            m_follower.on_peer_generation(from.m_address, report->m_generation);
        }
        else if (auto* const result = std::get_if<service_result>(&message))
        {
            if (!m_services->m_calls.complete(from.m_address, std::move(*result)))
                m_services->m_metrics.m_late_results.add();
        }
        else
            m_services->m_streams.on_message(from, message);
    }

    unsigned m_threads;
    asio::io_context m_io;
    metrics m_metrics;
    std::string m_process;
    configuration_state m_configuration;
    std::shared_ptr<entry_services> m_services;
    std::vector<std::unique_ptr<request_filter>> m_filters;
    platform_client m_platform;
    entry_status m_status;
    configuration_store m_store;
    order_controller m_orders;
    administration_api m_administration;
    configuration_controller m_controller;
    configuration_follower m_follower;
    std::shared_ptr<account_usage_exchange> m_usage_exchange;
    instance_watcher m_instances;
    json_rpc_server m_rpc;
    process_lifecycle m_lifecycle;
    peer_links m_links;
    http_server m_callers;
    http_server m_peers;
    asio::signal_set m_signals;

private:
    hello own_hello() const
    {
        return {
            m_process, "entry", m_services->m_settings.advertised_address(),
            m_configuration.generation()};
    }

    void record_peer(const hello& peer)
    {
        m_services->m_cluster_contacted = true;
        m_follower.on_peer_generation(peer.m_address, peer.m_generation);
    }

    http_response health_response(std::string_view path) const;
    asio::awaitable<void> serve_caller(http_exchange& exchange);
    asio::awaitable<void> serve_peer(http_exchange& exchange);
    asio::awaitable<void> serve_request(http_exchange& exchange);
    http_response list_models(const request_context& context) const;
    void record_outcome(const request_context& context, const request_record& record);

    void on_instance_list(const instance_list& list);
    asio::awaitable<void> query_configured_peers();
    asio::awaitable<void> tick();
    asio::awaitable<void> wait_for_signal();
    asio::awaitable<void> drain();
    void end_open_requests();
    void refresh_index();

    std::shared_ptr<const fulmaryard::configuration> m_indexed_configuration;
    readiness_gate m_readiness; ///< Used by `tick` only.
    std::atomic<bool> m_instances_known{false};
    std::atomic<bool> m_drained_in_time{true};
};

http_response entry_process::impl::health_response(std::string_view path) const
{
    if (path == "/healthz")
        return text_response(200, "ok\n");
    const auto phase = m_lifecycle.phase();
    return text_response(
        phase == lifecycle_phase::ready ? 200 : 503,
        std::string(fulmaryard::to_string(phase)) + "\n");
}

asio::awaitable<void> entry_process::impl::serve_caller(http_exchange& exchange)
{
    const std::string_view path = target_path(exchange.request().m_target);
    if (path == "/healthz" || path == "/readyz")
        std::ignore = co_await exchange.respond(health_response(path));
    else
        co_await serve_request(exchange);
}

asio::awaitable<void> entry_process::impl::serve_request(http_exchange& exchange)
{
    const auto services = m_services;
    request_context context;
    context.m_arrived = std::chrono::steady_clock::now();
    context.m_request = &exchange.request();
    context.m_configuration = services->configuration();
    request_record record;
    record.m_status = apply_filters(m_filters, context);
    if (!record.m_status.ok())
    {
        const absl::Status written =
            co_await exchange.respond(error_response(record.m_status, context.m_request_id));
        record.m_caller_disconnected = !written.ok();
    }
    else if (context.m_list_models)
        std::ignore = co_await exchange.respond(list_models(context));
    else
    {
        services->count_request();
        record.m_kind = context.m_model ? request_kind::model : request_kind::service;
        if (context.m_model)
            co_await dispatch_model_request(services, context, exchange, record);
        else
            co_await dispatch_service_call(services, context, exchange, record);
    }
    record_outcome(context, record);
}

http_response entry_process::impl::list_models(const request_context& context) const
{
    json::array data;
    for (const auto* const model :
         context.m_configuration->allowed_models(context.m_account->m_name))
    {
        data.push_back(json::object{
            {"id", model->m_name},
            {"object", "model"},
            {"created", 0},
            {"owned_by", "fulmaryard"}});
    }
    auto response = text_response(
        200, json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}}),
        "application/json");
    response.m_fields.push_back({"X-Request-Id", context.m_request_id});
    return response;
}

void entry_process::impl::record_outcome(
    const request_context& context, const request_record& record)
{
    std::string_view outcome_label = "ok";
    if (record.m_caller_disconnected)
        outcome_label = "caller-gone";
    else if (!record.m_status.ok())
        outcome_label = fulmaryard::to_string(outcome_of(record.m_status));
    m_services->m_metrics.count(record.m_kind, outcome_label);
    log_event line(log_level::info, "request");
    line.with("request", context.m_request_id)
        .with("account", context.m_account ? context.m_account->m_name : "")
        .with("method", context.m_request->m_method)
        .with("path", target_path(context.m_request->m_target))
        .with("outcome", outcome_label)
        .with(
            "code", record.m_status.ok() ? std::string_view("ok")
                                         : fulmaryard::to_string(kind_of(record.m_status)))
        .with("seconds", to_seconds(std::chrono::steady_clock::now() - context.m_arrived));
    if (record.m_kind == request_kind::model)
    {
        line.with("queue_seconds", to_seconds(record.m_queue_time))
            .with("first_token_seconds", to_seconds(record.m_first_token_latency))
            .with("tokens", record.m_tokens)
            .with("replacements", record.m_replacements);
    }
    else if (record.m_kind == request_kind::service)
        line.with("attempts", record.m_attempts);
}

asio::awaitable<void> entry_process::impl::serve_peer(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string_view path = target_path(request.m_target);
    http_response response;
    if (path == "/healthz" || path == "/readyz")
        response = health_response(path);
    else if (path == "/rpc" && request.m_method == "POST")
        response = text_response(200, m_rpc.handle(request.m_body), "application/json");
    else if (path == "/metrics")
        response = text_response(200, m_metrics.expose(), "text/plain; version=0.0.4");
    else if (path == "/dump")
        response = text_response(200, status(), "application/json");
    else if (path.substr(0, 7) == "/admin/")
        response = co_await m_administration.handle(request);
    else
    {
        response = error_response(
            make_failure(failure_kind::path_not_found, "there is nothing at this path"), "");
    }
    std::ignore = co_await exchange.respond(std::move(response));
}

std::string entry_process::impl::status() const
{
    json::array endpoints;
    const auto view = m_services->m_directory.published().load();
    for (const auto& known : view->m_endpoints)
    {
        if (endpoints.size() == max_dumped_endpoints)
            break;
        const auto& report = known.m_report;
        endpoints.push_back(json::object{
            {"address", known.m_address},
            {"process", report.m_process},
            {"state", std::string(fulmaryard::to_string(known.m_state))},
            {"model", report.m_model},
            {"service", report.m_service},
            {"layers", json::array{report.m_layers.m_begin, report.m_layers.m_end}},
            {"engine_up", report.m_engine_up},
            {"outstanding", known.outstanding()},
            {"batch_limit", report.m_batch_limit},
            {"step_time_us", report.m_step_time_us},
            {"free_kv_positions", report.m_free_kv_positions},
            {"generation", report.m_generation}});
    }
    json::array links;
    for (const auto& link : m_links.state())
    {
        links.push_back(json::object{
            {"address", link.m_address},
            {"process", link.m_process},
            {"up", link.m_up},
            {"queued_bytes", link.m_queued_bytes},
            {"reconnects", link.m_reconnects}});
    }
    const auto& settings = m_services->m_settings;
    return json::serialize(json::object{
        {"role", "entry"},
        {"name", settings.m_name},
        {"process", m_process},
        {"address", settings.advertised_address()},
        {"phase", std::string(fulmaryard::to_string(m_lifecycle.phase()))},
        {"generation", m_configuration.generation()},
        {"streams", m_services->m_streams.size()},
        {"queued", m_services->m_gate->queued()},
        {"admitted_streams", m_services->m_gate->running()},
        {"calls", m_services->m_calls.size()},
        {"active_requests", m_callers.active_exchanges()},
        {"endpoints", std::move(endpoints)},
        {"links", std::move(links)}});
}

void entry_process::impl::on_instance_list(const instance_list& list)
{
    m_services->m_cluster_contacted = true;
    m_status.set_instances(list);
    const auto changes = m_services->m_directory.on_instance_list(list);
    m_instances_known = true;
    for (const auto& address : changes.m_addresses_to_pin)
        m_links.pin(address);
    for (const auto& address : changes.m_addresses_to_unpin)
        m_links.unpin(address);
    const auto entries = active_entry_addresses(list);
    m_usage_exchange->set_entries(entries);
    m_controller.set_watch_enabled(
        is_elected_watcher(m_services->m_settings.advertised_address(), entries));
}

asio::awaitable<void> entry_process::impl::query_configured_peers()
{
    // While the platform is down, a starting entry gets the active configuration from its peers.
    asio::steady_timer timer(m_io);
    while (m_lifecycle.phase() == lifecycle_phase::starting)
    {
        for (const auto& address : m_services->m_settings.m_peers)
        {
            http_client client(m_io.get_executor(), address, 0);
            http_request request;
            request.m_method = "POST";
            request.m_target = "/rpc";
            request.m_body = make_json_rpc_request("configuration.generation", "{}");
            const auto response =
                co_await client.send(std::move(request), std::chrono::milliseconds(500));
            if (!response.ok())
                continue;
            const auto answer = read_json_rpc_response(response->m_body);
            json::error_code error;
            const auto value = json::parse(answer.m_json, error);
            const auto* const fields = error ? nullptr : value.if_object();
            const auto* const generation = fields ? fields->if_contains("generation") : nullptr;
            if (!generation || !generation->is_number())
                continue;
            m_services->m_cluster_contacted = true;
            const auto number = generation->to_number<std::uint64_t>(error);
            if (!error)
                m_follower.on_peer_generation(address, number);
        }
        timer.expires_after(peer_query_interval);
        const auto [error] = co_await timer.async_wait(use_tuple);
        if (error)
            co_return;
    }
}

void entry_process::impl::refresh_index()
{
    auto current = m_configuration.published().load();
    if (current == m_indexed_configuration)
        return;
    m_indexed_configuration = current;
    m_services->m_index.publish(std::make_shared<configuration_index>(std::move(current)));
}

asio::awaitable<void> entry_process::impl::tick()
{
    asio::steady_timer timer(m_io);
    while (true)
    {
        refresh_index();
        m_services->m_directory.publish_load();
        std::size_t batch_limits = 0;
        const auto view = m_services->m_directory.published().load();
        for (const auto& known : view->m_endpoints)
        {
            const auto& report = known.m_report;
            if (known.m_state == endpoint_state::live && report.m_engine_up &&
                !report.m_model.empty())
                batch_limits += report.m_batch_limit;
        }
        m_services->m_gate->on_tick(batch_limits);
        const bool configured =
            m_indexed_configuration->m_generation > 0 && m_services->m_cluster_contacted;
        if (m_lifecycle.phase() == lifecycle_phase::starting &&
            m_readiness.ready(
                configured, m_instances_known, m_services->m_directory.unreported_count(),
                std::chrono::steady_clock::now()) &&
            m_lifecycle.become_ready())
            log_event(log_level::info, "ready")
                .with("generation", m_indexed_configuration->m_generation);
        timer.expires_after(tick_interval);
        const auto [error] = co_await timer.async_wait(use_tuple);
        if (error)
            co_return;
    }
}

asio::awaitable<void> entry_process::impl::wait_for_signal()
{
    const auto [error, number] = co_await m_signals.async_wait(use_tuple);
    if (error)
        co_return;
    log_event(log_level::info, "draining")
        .with("signal", number)
        .with("active_requests", m_callers.active_exchanges());
    co_await drain();
}

asio::awaitable<void> entry_process::impl::drain()
{
    m_lifecycle.begin_drain();
    m_services->m_draining = true;
    asio::steady_timer timer(m_io);
    const auto started = std::chrono::steady_clock::now();
    const auto limit = std::chrono::milliseconds(m_services->m_settings.m_drain_limit_ms);
    while (true)
    {
        const auto elapsed = std::chrono::steady_clock::now() - started;
        m_drained_in_time = m_callers.active_exchanges() == 0;
        if (elapsed >= min_drain_time)
            m_services->m_rejecting_requests = true;
        if (elapsed >= limit - final_answer_time ||
            (elapsed >= min_drain_time && m_drained_in_time))
            break;
        timer.expires_after(tick_interval);
        co_await timer.async_wait(use_tuple);
    }
    // New requests are refused before the open ones are ended, so that none is taken and ended at
    // once. Streams of events last until the exit; their callers continue them at another entry.
    m_services->m_rejecting_requests = true;
    while (m_callers.active_exchanges() > 0 && std::chrono::steady_clock::now() < started + limit)
    {
        end_open_requests();
        timer.expires_after(final_answer_interval);
        co_await timer.async_wait(use_tuple);
    }
    m_lifecycle.finish_drain();
    m_callers.stop_accepting();
    m_peers.stop_accepting();
    m_links.stop();
    log_event(log_level::info, "stopped").with("active_requests", m_callers.active_exchanges());
    m_io.stop();
}

/// Refuses queued requests, ends streams whose callers can't continue them at another entry, and
/// completes the calls that side processes have not answered, with an unknown outcome.
void entry_process::impl::end_open_requests()
{
    m_services->m_gate->refuse_queued();
    m_services->m_streams.end_for_exit();
    const auto view = m_services->m_directory.published().load();
    for (const auto& known : view->m_endpoints)
        m_services->m_calls.fail_peer(known.m_address);
}

absl::Status entry_process::impl::run()
{
    const auto& settings = m_services->m_settings;
    refresh_index();
    const auto peer_port = m_peers.listen(settings.m_peer_listen);
    if (!peer_port.ok())
        return peer_port.status();
    const auto port = m_callers.listen(settings.m_listen);
    if (!port.ok())
        return port.status();
    log_event(log_level::info, "started")
        .with("listen", settings.m_listen)
        .with("peer_listen", settings.m_peer_listen)
        .with("id", m_process);
    const auto executor = m_io.get_executor();
    asio::co_spawn(executor, m_controller.run(), asio::detached);
    asio::co_spawn(executor, m_instances.run(), asio::detached);
    asio::co_spawn(executor, query_configured_peers(), asio::detached);
    asio::co_spawn(executor, m_usage_exchange->run(), asio::detached);
    asio::co_spawn(executor, tick(), asio::detached);
    asio::co_spawn(executor, wait_for_signal(), asio::detached);
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < m_threads; ++i)
        threads.emplace_back([this] { m_io.run(); });
    m_io.run();
    for (auto& thread : threads)
        thread.join();
    if (!m_drained_in_time)
    {
        return make_failure(
            failure_kind::deadline_exceeded, "the drain limit passed with requests in flight",
            dispatch_progress::started);
    }
    return absl::OkStatus();
}

entry_process::entry_process(entry_settings settings)
    : m_impl(std::make_unique<impl>(std::move(settings)))
{
}

entry_process::~entry_process() = default;

std::string entry_process::status() const
{
    return m_impl->status();
}

absl::Status entry_process::run()
{
    return m_impl->run();
}

} // namespace fulmaryard
