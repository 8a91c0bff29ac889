#include "instance_view.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/configuration_follower.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/engine_link.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/lease.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/metrics.hpp>
#include <fulmaryard/order_gate.hpp>
#include <fulmaryard/peer_links.hpp>
#include <fulmaryard/peer_listener.hpp>
#include <fulmaryard/platform_client.hpp>
#include <fulmaryard/side_process.hpp>
#include <fulmaryard/stage_node.hpp>
#include <fulmaryard/worker_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

using steady = std::chrono::steady_clock;
using io_strand = asio::strand<asio::io_context::executor_type>;

constexpr std::chrono::milliseconds shard_tick_interval{100};
constexpr std::chrono::milliseconds report_interval{100};
constexpr std::chrono::milliseconds full_report_interval{1000};
constexpr std::chrono::milliseconds instance_poll_interval{2000};
/// Upper bound of the backoff between reads of the platform's instance list while no entry
/// responds. At this interval 3,900 side processes issue 244 reads per second, of the 2,000 per
/// second that the platform allows.
constexpr std::chrono::milliseconds max_platform_read_interval{16'000};
/// More than one, so that a single failed entry does not make side processes fall back to reading
/// from the platform.
constexpr std::size_t max_entries_queried_per_poll = 3;
constexpr std::chrono::milliseconds platform_timeout{1000};
constexpr std::chrono::milliseconds peer_call_timeout{500};
/// Maximum time to wait at startup for the newest configuration known to the queried entries.
/// After that, startup continues without it.
constexpr std::chrono::milliseconds configuration_timeout{2000};
constexpr std::chrono::milliseconds state_poll_interval{50};
/// Number of consecutive idle polls required to complete a drain. One is not enough because
/// messages in transit between strands are not counted as activity.
constexpr int required_idle_polls = 4;
constexpr std::size_t max_dumped_streams = 64;
constexpr std::size_t max_dumped_keys = 64;
constexpr std::size_t max_dumped_links = 256;
constexpr std::size_t max_entries_queried_at_start = 3;

json::string_view to_json_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Parses `text` as JSON; returns it as a JSON string if it is not valid JSON.
json::value parse_json_or_wrap(const std::string& text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    return error ? json::value(text) : value;
}

http_response make_json(unsigned status, const json::value& value)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(value)};
}

/// Returns the id of the stream that a message belongs to, or `nullopt` if it belongs to none.
std::optional<stream_id> stream_of(const peer_message& message)
{
    return std::visit(
        [](const auto& value) -> std::optional<stream_id>
        {
            if constexpr (requires { value.m_stream; })
                return value.m_stream;
            else
                return std::nullopt;
        },
        message);
}

/// Calls a JSON-RPC method of one peer and returns the result as JSON text. Returns an empty string
/// if the peer does not respond in time or responds with an error.
asio::awaitable<std::string> call_peer(
    const asio::any_io_executor& executor, const std::string& address, std::string method,
    std::string parameters)
{
    http_client client(executor, address, 0);
    http_request request{
        "POST",
        "/rpc",
        {{"Content-Type", "application/json"}},
        make_json_rpc_request(method, parameters)};
    const auto response = co_await client.send(std::move(request), peer_call_timeout);
    if (!response.ok() || response->m_status != 200)
        co_return std::string();
    co_return read_json_rpc_response(response->m_body).m_json;
}

/// Fetches the configuration generation of one peer. Returns 0 if the peer does not respond or its
/// response is invalid.
asio::awaitable<std::uint64_t>
fetch_generation(const asio::any_io_executor& executor, const std::string& address)
{
    const std::string method = "configuration.generation";
    const std::string parameters = "{}";
    const std::string answer = co_await call_peer(executor, address, method, parameters);
    boost::system::error_code error;
    const auto value = json::parse(answer, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* generation = object ? object->if_contains("generation") : nullptr;
    if (!generation || !generation->is_number())
        co_return 0;
    const auto number = generation->to_number<std::uint64_t>(error);
    co_return error ? 0 : number;
}

/// One stage node and the strand that serializes access to it. Each node numbers its runs and
/// sessions independently; the shard index is encoded into these numbers to make them unique within
/// the process.
struct shard
{
    explicit shard(io_strand executor) : m_strand(std::move(executor)) {}

    io_strand m_strand;
    std::unique_ptr<stage_node> m_node; ///< Null until the engine's model is known.
    std::uint64_t m_connection{0};      ///< Engine connection number from the last `on_engine_up`.
    std::atomic<std::size_t> m_active{0};
    std::atomic<std::size_t> m_retained{0};
};

} // namespace

class side_process::impl : public peer_listener
{
public:
    impl(asio::io_context& io, side_settings settings, std::function<void()> on_stopped)
        : m_io(io),
          m_settings(std::move(settings)),
          m_process(m_settings.m_name + "-" + to_string(make_stream_id()).substr(0, 8)),
          m_address(m_settings.m_peer_listen),
          m_on_stopped(std::move(on_stopped)),
          m_lifecycle([this](lifecycle_phase phase) { on_phase(phase); }),
          m_runs(m_metrics.counter("fulmaryard_side_runs_total")),
          m_failed_runs(m_metrics.counter("fulmaryard_side_failed_runs_total")),
          m_run_seconds(m_metrics.histogram("fulmaryard_side_run_seconds")),
          m_follower(
              io.get_executor(), m_configuration,
              [this](const std::shared_ptr<const configuration>& current)
              { on_configuration(current->m_generation); }),
          m_links(
              io, [this] { return make_hello(); }, *this),
          m_platform(std::make_shared<platform_client>(io.get_executor(), m_settings.m_platform)),
          m_report_strand(asio::make_strand(io)),
          m_report_timer(m_report_strand),
          m_order_strand(asio::make_strand(io)),
          m_server(
              io, http_server_limits{},
              [this](http_exchange& exchange) { return handle(exchange); },
              [this](auto socket, auto request)
              { m_links.accept(std::move(socket), std::move(request)); })
    {
        const std::size_t shards = std::max<std::uint32_t>(1, m_settings.m_threads);
        for (std::size_t i = 0; i < shards; ++i)
            m_shards.push_back(std::make_unique<shard>(asio::make_strand(io)));
        if (!m_settings.m_engine.empty())
            m_engine = std::make_unique<engine_link>(
                io.get_executor(), m_settings.m_engine, make_engine_handlers());
        if (!m_settings.m_worker.empty())
            m_worker = std::make_unique<worker_client>(
                io.get_executor(), m_process, m_settings.m_worker, m_platform, m_metrics,
                [this](const std::string& address, const service_result& result)
                { m_links.send(address, result); });
        register_methods();
    }

    absl::StatusOr<std::uint16_t> start()
    {
        auto port = m_server.listen(m_settings.m_peer_listen);
        if (!port.ok())
            return port;
        m_address = m_settings.m_peer_advertise;
        if (m_address.empty())
        {
            m_address =
                m_settings.m_peer_listen.substr(0, m_settings.m_peer_listen.rfind(':') + 1) +
                std::to_string(*port);
        }
        if (m_engine)
            m_engine->start();
        if (m_worker)
            m_worker->start();
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            spawn(m_shards[i]->m_strand, tick_loop(i));
        spawn(m_report_strand, report_loop());
        spawn(m_report_strand, run_startup());
        spawn(asio::make_strand(m_io), instance_loop());
        log_event(log_level::info, "side_started")
            .with("id", m_process)
            .with("address", m_address)
            .with("engine", m_settings.m_engine)
            .with("worker", m_settings.m_worker);
        return port;
    }

    void begin_drain(std::string_view reason)
    {
        if (m_lifecycle.begin_drain())
            log_event(log_level::info, "drain_started").with("reason", reason);
    }

    lifecycle_phase phase() const { return m_lifecycle.phase(); }

    void on_peer_up(const hello& peer) override { on_connected(peer); }

    void on_peer_hello(const hello& peer) override { on_connected(peer); }

    void on_peer_down(const std::string& address) override
    {
        asio::post(m_report_strand, [this, address] { m_entries.erase(address); });
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            post_to_shard(
                i,
                [address](stage_node& node) { return node.on_peer_down(address, steady::now()); });
    }

    void on_peer_message(const hello& from, peer_message message) override
    {
        if (auto* call = std::get_if<service_call>(&message))
        {
            m_follower.on_peer_generation(from.m_address, call->m_generation);
            begin_call(std::move(*call));
            return;
        }
        if (const auto* open = std::get_if<open_stream>(&message))
            m_follower.on_peer_generation(from.m_address, open->m_generation);
        const auto stream = stream_of(message);
        if (!stream)
            return;
        const std::size_t index = absl::HashOf(*stream) % m_shards.size();
        asio::post(
            m_shards[index]->m_strand,
            [this, index, from, message = std::move(message)]
            {
                auto& target = *m_shards[index];
                if (target.m_node)
                    run_actions(index, target.m_node->on_message(from, message, steady::now()));
                else if (const auto* open = std::get_if<open_stream>(&message))
                    refuse_stream(*open, failure_kind::no_endpoint);
            });
    }

private:
    template <typename Executor>
    static void spawn(const Executor& executor, asio::awaitable<void> task)
    {
        asio::co_spawn(executor, std::move(task), asio::detached);
    }

    hello make_hello() const
    {
        return {m_process, "side", m_address, m_configuration.generation()};
    }

    bool draining() const { return m_lifecycle.phase() >= lifecycle_phase::draining; }

    // Shards

    /// Calls `step` with the shard's node on the shard's strand and performs the returned actions.
    /// Does nothing if the shard has no node yet.
    template <typename Step>
    void post_to_shard(std::size_t index, Step step)
    {
        asio::post(
            m_shards[index]->m_strand,
            [this, index, step = std::move(step)]
            {
                auto& target = *m_shards[index];
                if (target.m_node)
                    run_actions(index, step(*target.m_node));
            });
    }

    void run_actions(std::size_t index, stage_node::actions requested_actions)
    {
        auto& target = *m_shards[index];
        for (auto& action : requested_actions)
        {
            if (auto* send = std::get_if<send_message>(&action))
            {
                if (const auto* refused = std::get_if<stream_refused>(&send->m_message))
                    count_refusal(refused->m_reason);
                m_links.send(send->m_address, send->m_message);
            }
            else if (auto* run = std::get_if<engine_run>(&action))
            {
                run->m_run = run->m_run * m_shards.size() + index;
                run->m_session = run->m_session * m_shards.size() + index;
                m_runs.add();
                m_engine->run(std::move(*run), target.m_connection);
            }
            else
            {
                auto release = std::get<engine_release>(action);
                release.m_session = release.m_session * m_shards.size() + index;
                m_engine->release(release, target.m_connection);
            }
        }
        target.m_active = target.m_node->active_streams();
        target.m_retained = target.m_node->retained_bytes();
    }

    asio::awaitable<void> tick_loop(std::size_t index)
    {
        auto& target = *m_shards[index];
        asio::steady_timer timer(target.m_strand);
        for (;;)
        {
            timer.expires_after(shard_tick_interval);
            co_await timer.async_wait(use_tuple);
            if (target.m_node)
                run_actions(index, target.m_node->on_tick(steady::now()));
        }
    }

    void refuse_stream(const open_stream& open, failure_kind reason)
    {
        count_refusal(reason);
        m_links.send(
            open.m_owner_address,
            stream_refused{open.m_stream, open.m_epoch, open.m_stage, reason});
    }

    void count_refusal(failure_kind reason)
    {
        m_metrics
            .counter(
                "fulmaryard_side_refusals_total", fmt::format("kind=\"{}\"", to_string(reason)))
            .add();
    }

    std::size_t active_streams() const
    {
        std::size_t sum = 0;
        for (const auto& each : m_shards)
            sum += each->m_active;
        return sum;
    }

    std::size_t retained_bytes() const
    {
        std::size_t sum = 0;
        for (const auto& each : m_shards)
            sum += each->m_retained;
        return sum;
    }

    // Engine

    engine_link_handlers make_engine_handlers()
    {
        engine_link_handlers handlers;
        handlers.m_on_up = [this](std::uint64_t connection, const engine_info& info)
        { on_engine_up(connection, info); };
        handlers.m_on_down = [this] { on_engine_down(); };
        handlers.m_on_result = [this](engine_result result, std::chrono::nanoseconds duration)
        { on_engine_result(std::move(result), duration); };
        handlers.m_on_info = [this](const engine_info& info)
        {
            const std::lock_guard lock(m_engine_info_mutex);
            m_engine_info.m_kv_free = info.m_kv_free;
        };
        return handlers;
    }

    void on_engine_up(std::uint64_t connection, const engine_info& info)
    {
        {
            const std::lock_guard lock(m_engine_info_mutex);
            if (m_engine_known &&
                (info.m_model != m_engine_info.m_model || info.m_layers != m_engine_info.m_layers))
            {
                // Streams and peers rely on the layers that this process reported. Serving a
                // different model or layer range requires a restart.
                log_event(log_level::error, "engine_changed")
                    .with("model", info.m_model)
                    .with("layers_begin", info.m_layers.m_begin)
                    .with("layers_end", info.m_layers.m_end);
                return;
            }
            m_engine_info = info;
            m_engine_known = true;
        }
        if (m_step_time_us == 0)
            m_step_time_us = info.m_step_time_us;
        for (const auto& each : m_shards)
        {
            asio::post(
                each->m_strand,
                [this, &target = *each, connection, info]
                {
                    if (!target.m_node)
                        target.m_node = make_node(info);
                    target.m_connection = connection;
                    target.m_node->on_engine_up();
                });
        }
        m_engine_up = true;
        trigger_report();
    }

    std::unique_ptr<stage_node> make_node(const engine_info& info)
    {
        stage_node_settings settings;
        settings.m_process = m_process;
        settings.m_address = m_address;
        settings.m_model = info.m_model;
        settings.m_layers = info.m_layers;
        settings.m_max_streams =
            std::max<std::size_t>(1, m_settings.m_max_streams / m_shards.size());
        settings.m_max_retained_bytes = m_settings.m_max_retained_bytes / m_shards.size();
        auto node = std::make_unique<stage_node>(std::move(settings));
        node->set_generation(m_configuration.generation());
        if (draining())
            node->begin_drain();
        return node;
    }

    void on_engine_down()
    {
        if (!m_engine_up.exchange(false))
            return;
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            post_to_shard(i, [](stage_node& node) { return node.on_engine_down(steady::now()); });
        trigger_report();
    }

    void on_engine_result(engine_result result, std::chrono::nanoseconds duration)
    {
        if (result.m_failed)
            m_failed_runs.add();
        else if (duration.count() > 0)
        {
            m_run_seconds.record(duration);
            if (result.m_outputs.size() == 1)
                update_step_time(duration);
        }
        const std::size_t index = result.m_run % m_shards.size();
        result.m_run /= m_shards.size();
        post_to_shard(
            index, [result = std::move(result)](stage_node& node)
            { return node.on_engine_result(result, steady::now()); });
    }

    /// Updates the exponential moving average of the duration of one engine step. Called on the
    /// engine link's strand. `duration` includes the time spent queued for a batch, so it is
    /// divided by the number of batches that the runs in flight fill.
    void update_step_time(std::chrono::nanoseconds duration)
    {
        std::uint32_t batch = 1;
        {
            const std::lock_guard lock(m_engine_info_mutex);
            batch = std::max<std::uint32_t>(1, m_engine_info.m_batch_limit);
        }
        const std::size_t in_flight = m_engine->state().m_runs_in_flight + 1;
        const std::size_t steps = (in_flight + batch - 1) / batch;
        const auto sample_us =
            static_cast<std::int64_t>(duration.count() / 1000 / static_cast<std::int64_t>(steps));
        // With a weight of 1/8, one outlier shifts the average by an eighth of its deviation, and
        // 20 results replace 93% of the average.
        const std::int64_t previous_us = m_step_time_us;
        m_step_time_us = static_cast<std::uint32_t>(
            previous_us == 0
                ? sample_us
                : std::max<std::int64_t>(1, previous_us + (sample_us - previous_us) / 8));
    }

    // Peers and configuration

    void on_connected(const hello& peer)
    {
        m_follower.on_peer_generation(peer.m_address, peer.m_generation);
        if (peer.m_role == "entry")
        {
            asio::post(
                m_report_strand,
                [this, address = peer.m_address]
                {
                    m_entries.insert_or_assign(address, true);
                    m_links.send(address, make_report());
                });
        }
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            post_to_shard(
                i,
                [peer](stage_node& node) { return node.on_peer_connected(peer, steady::now()); });
    }

    void on_configuration(std::uint64_t generation)
    {
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            post_to_shard(
                i,
                [generation](stage_node& node)
                {
                    node.set_generation(generation);
                    return stage_node::actions();
                });
        trigger_report();
    }

    /// Waits for the highest configuration generation reported by the queried entries, for a
    /// limited time, then for the engine, and marks the process as ready.
    asio::awaitable<void> run_startup()
    {
        asio::steady_timer timer(m_report_strand);
        std::uint64_t highest_generation = 0;
        const auto instances = co_await m_platform->instances(0, std::chrono::milliseconds(0));
        if (instances.ok())
        {
            std::size_t queried_count = 0;
            for (const auto& each : instances->m_instances)
            {
                if (each.m_role != "entry" || each.m_leaving ||
                    queried_count++ == max_entries_queried_at_start)
                    continue;
                const auto generation =
                    co_await fetch_generation(m_io.get_executor(), each.m_peer_address);
                m_follower.on_peer_generation(each.m_peer_address, generation);
                highest_generation = std::max(highest_generation, generation);
            }
        }
        const auto configuration_deadline = steady::now() + configuration_timeout;
        while (m_configuration.generation() < highest_generation &&
               steady::now() < configuration_deadline)
        {
            timer.expires_after(state_poll_interval);
            co_await timer.async_wait(use_tuple);
        }
        while (m_engine && !m_engine_up)
        {
            timer.expires_after(state_poll_interval);
            co_await timer.async_wait(use_tuple);
        }
        if (m_lifecycle.become_ready())
            log_event(log_level::info, "side_ready")
                .with("generation", m_configuration.generation());
    }

    /// Polls whether this instance is leaving and which configuration generation is current.
    /// Queries entries, so that the read load on the platform does not grow with the number of side
    /// processes. Falls back to the platform's instance list while no entry responds.
    asio::awaitable<void> instance_loop()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        std::minstd_rand random(std::random_device{}());
        std::vector<std::string> entries;
        std::uint64_t version = 0;
        auto platform_read_interval = instance_poll_interval;
        auto next_read = steady::now();
        for (;;)
        {
            timer.expires_after(instance_poll_interval);
            co_await timer.async_wait(use_tuple);
            std::shuffle(entries.begin(), entries.end(), random);
            const bool answered = co_await refresh_instance_view(entries, version);
            if (answered)
            {
                platform_read_interval = instance_poll_interval;
                continue;
            }
            if (steady::now() < next_read)
                continue;
            next_read = steady::now() + platform_read_interval;
            platform_read_interval =
                std::min(2 * platform_read_interval, max_platform_read_interval);
            const auto listed = co_await m_platform->instances(0, std::chrono::milliseconds(0));
            if (!listed.ok())
                continue;
            const auto view = make_instance_view(*listed, m_address, 0);
            version = view.m_version;
            entries = view.m_entries;
            if (view.m_leaving)
                begin_drain("instance list");
        }
    }

    /// Queries up to `max_entries_queried_per_poll` of `entries` and applies the first current
    /// instance view. Updates `version` and, unless the view lists none, `entries`. Returns false
    /// if no entry responded with a current view.
    asio::awaitable<bool>
    refresh_instance_view(std::vector<std::string>& entries, std::uint64_t& version)
    {
        const std::string parameters = json::serialize(json::object{{"peer_address", m_address}});
        const std::string method = "instances.view";
        for (std::size_t entry_index = 0;
             entry_index < std::min(entries.size(), max_entries_queried_per_poll); ++entry_index)
        {
            const std::string address = entries[entry_index];
            const std::string answer =
                co_await call_peer(m_io.get_executor(), address, method, parameters);
            const auto view = parse_instance_view(answer);
            if (!view)
                continue;
            m_follower.on_peer_generation(address, view->m_generation);
            // An entry that has just started has no instance list yet; one that is partitioned from
            // the platform may have an outdated list.
            if (view->m_version == 0 || view->m_version < version)
                continue;
            version = view->m_version;
            if (view->m_leaving)
                begin_drain("instance list");
            if (!view->m_entries.empty())
                entries = view->m_entries;
            co_return true;
        }
        co_return false;
    }

    // Load reports, on `m_report_strand`

    load_report make_report() const
    {
        load_report report;
        report.m_process = m_process;
        report.m_address = m_address;
        report.m_service = m_settings.m_service;
        report.m_region = m_settings.m_region;
        report.m_failure_domain = m_settings.m_failure_domain;
        report.m_leaving = draining();
        report.m_generation = m_configuration.generation();
        if (m_engine)
        {
            const std::lock_guard lock(m_engine_info_mutex);
            report.m_model = m_engine_info.m_model;
            report.m_kind = m_engine_info.m_kind;
            report.m_layers = m_engine_info.m_layers;
            report.m_batch_limit = m_engine_info.m_batch_limit;
            report.m_free_kv_positions = m_engine_info.m_kv_free;
            report.m_step_time_us = m_step_time_us;
            report.m_engine_up = m_engine_up;
        }
        else if (m_worker)
            report.m_engine_up = m_worker->worker_up();
        report.m_outstanding =
            static_cast<std::uint32_t>(active_streams() + (m_worker ? m_worker->active() : 0));
        return report;
    }

    void trigger_report()
    {
        asio::post(m_report_strand, [this] { m_report_timer.cancel(); });
    }

    asio::awaitable<void> report_loop()
    {
        load_report last_report;
        steady::time_point last_sent;
        for (;;)
        {
            const auto report = make_report();
            const auto now = steady::now();
            if (report != last_report || now - last_sent >= full_report_interval)
            {
                for (const auto& [address, unused] : m_entries)
                    m_links.send(address, report);
                last_report = report;
                last_sent = now;
            }
            m_report_timer.expires_after(report_interval);
            co_await m_report_timer.async_wait(use_tuple);
        }
    }

    // Application worker

    void begin_call(service_call call)
    {
        if (m_worker)
        {
            m_worker->begin(std::move(call));
            return;
        }
        service_result refused;
        refused.m_call = call.m_call;
        refused.m_failure = failure_kind::no_endpoint;
        refused.m_outcome = outcome::not_run;
        m_links.send(call.m_reply_address, refused);
    }

    // Orders, on `m_order_strand`

    using order_handler = std::function<void(absl::Status)>;

    void submit_order(engine_order order, order_handler on_complete)
    {
        ++m_active_orders;
        asio::post(
            m_order_strand,
            [this, order = std::move(order), on_complete = std::move(on_complete)]() mutable
            {
                const std::uint64_t ticket = ++m_last_ticket;
                m_order_handlers.emplace(ticket, std::move(on_complete));
                run_actions(m_order_gate.submit(ticket, std::move(order), steady::now()));
            });
    }

    void run_actions(const order_gate::actions& requested_actions)
    {
        for (const auto& action : requested_actions)
        {
            if (const auto* read = std::get_if<read_order_lease>(&action))
                spawn(m_order_strand, read_lease_object(read->m_ticket));
            else if (const auto* send = std::get_if<send_order>(&action))
                m_engine->order(
                    send->m_order,
                    [this, ticket = send->m_ticket](const absl::Status& result)
                    {
                        asio::post(
                            m_order_strand,
                            [this, ticket, result] {
                                run_actions(
                                    m_order_gate.on_engine_answer(ticket, result, steady::now()));
                            });
                    });
            else
                complete_order(std::get<answer_order>(action));
        }
    }

    void complete_order(const answer_order& answer)
    {
        const auto handler = m_order_handlers.find(answer.m_ticket);
        if (handler == m_order_handlers.end())
            return;
        const auto name = answer.m_result.ok() ? std::string_view("accepted")
                                               : to_string(kind_of(answer.m_result));
        m_metrics.counter("fulmaryard_side_orders_total", fmt::format("result=\"{}\"", name)).add();
        log_event(log_level::info, "order_ended").with("result", name);
        auto on_complete = std::move(handler->second);
        m_order_handlers.erase(handler);
        --m_active_orders;
        on_complete(answer.m_result);
    }

    asio::awaitable<void> read_lease_object(std::uint64_t ticket)
    {
        std::string name(order_lease_object_key);
        const auto object = co_await m_platform->get(std::move(name), platform_timeout);
        run_actions(m_order_gate.on_lease_read(ticket, object, steady::now()));
    }

    /// Submits an order and completes with its result, on the caller's executor.
    asio::awaitable<absl::Status> submit_order(engine_order order)
    {
        return asio::async_initiate<const asio::use_awaitable_t<>&, void(absl::Status)>(
            [this](auto handler, engine_order submitted)
            {
                // `std::function` requires a copyable callable; the handler is move-only.
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                submit_order(
                    std::move(submitted),
                    [shared](const absl::Status& result) {
                        asio::post(
                            asio::get_associated_executor(*shared),
                            [shared, result] { (*shared)(result); });
                    });
            },
            asio::use_awaitable, std::move(order));
    }

    asio::awaitable<json_rpc_result> handle_order_submit(const json::object& request)
    {
        const auto invalid = [](const char* message) {
            return json_rpc_result{"", message, -32602};
        };
        const auto* parameters = request.if_contains("params");
        const auto* object = parameters ? parameters->if_object() : nullptr;
        const auto* number = object ? object->if_contains("epoch") : nullptr;
        const auto* kind = object ? object->if_contains("kind") : nullptr;
        const auto* arguments = object ? object->if_contains("args") : nullptr;
        if (!number || !number->is_number() || !kind || !kind->is_string() ||
            (arguments && !arguments->is_object()))
            co_return invalid("order.submit takes epoch, kind and args");
        boost::system::error_code error;
        engine_order order;
        order.m_epoch = number->to_number<std::uint64_t>(error);
        if (error)
            co_return invalid("epoch is not a positive integer");
        order.m_kind = kind->get_string().c_str();
        if (arguments)
            order.m_arguments = json::serialize(*arguments);
        const std::uint64_t submitted = order.m_epoch;
        absl::Status result = make_failure(
            failure_kind::no_endpoint, "this side process has no engine",
            dispatch_progress::refused);
        if (m_engine)
            result = co_await submit_order(std::move(order));
        json::object answer{{"accepted", result.ok()}, {"epoch", submitted}};
        if (!result.ok())
        {
            answer["failure"] = to_json_view(to_string(kind_of(result)));
            answer["outcome"] = to_json_view(to_string(outcome_of(result)));
            answer["message"] = to_json_view(message_of(result));
        }
        co_return json_rpc_result{json::serialize(answer), "", 0};
    }

    // HTTP

    void register_methods()
    {
        add_configuration_methods(m_rpc, m_configuration);
        m_rpc.add(
            "process.drain",
            [this](const std::string&) -> json_rpc_result
            {
                begin_drain("process.drain");
                const json::object result{{"phase", to_json_view(to_string(phase()))}};
                return {json::serialize(result), "", 0};
            });
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        const auto& request = exchange.request();
        const std::string path(target_path(request.m_target));
        http_response response;
        if (path == "/rpc")
        {
            if (request.m_method == "POST")
                response = co_await dispatch_rpc(request.m_body);
            else
                response = failure_response(failure_kind::method_not_allowed);
        }
        else if (path != "/metrics" && path != "/healthz" && path != "/readyz" && path != "/dump")
            response = failure_response(failure_kind::path_not_found);
        else if (request.m_method != "GET")
            response = failure_response(failure_kind::method_not_allowed);
        else if (path == "/metrics")
            response = {200, {{"Content-Type", "text/plain; version=0.0.4"}}, expose()};
        else if (path == "/healthz")
            response = make_json(200, json::object{{"status", "ok"}});
        else if (path == "/readyz")
            response = make_json(
                phase() == lifecycle_phase::ready ? 200 : 503,
                json::object{{"phase", to_json_view(to_string(phase()))}});
        else
        {
            const json::value state = co_await dump();
            response = make_json(200, state);
        }
        // The write fails if the client has disconnected; there is nothing left to do then.
        (void)co_await exchange.respond(std::move(response));
    }

    static http_response failure_response(failure_kind kind)
    {
        return make_json(
            http_status(kind),
            json::object{
                {"error", json::object{
                              {"message", to_json_view(to_string(kind))},
                              {"type", to_json_view(to_string(kind))},
                              {"code", to_json_view(to_string(kind))},
                              {"outcome", to_json_view(to_string(outcome::not_run))}}}});
    }

    /// Dispatches a JSON-RPC request. Methods of `json_rpc_server` are synchronous, but
    /// `order.submit` has to wait for the platform and the engine. It therefore runs first, and a
    /// temporary server then formats the response with its result.
    asio::awaitable<http_response> dispatch_rpc(const std::string& body)
    {
        const auto reply = [](std::string text) {
            return http_response{200, {{"Content-Type", "application/json"}}, std::move(text)};
        };
        boost::system::error_code error;
        const auto request = json::parse(body, error);
        const auto* object = error ? nullptr : request.if_object();
        const auto* method = object ? object->if_contains("method") : nullptr;
        if (!method || !method->is_string() || method->get_string() != "order.submit")
            co_return reply(m_rpc.handle(body));
        auto result = co_await handle_order_submit(*object);
        json_rpc_server response_server;
        response_server.add("order.submit", [&result](const std::string&) { return result; });
        co_return reply(response_server.handle(body));
    }

    std::string expose() const
    {
        std::string text = m_metrics.expose();
        const auto append_gauge = [&text](std::string_view name, auto value)
        { text += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value); };
        append_gauge(
            "fulmaryard_side_outstanding", active_streams() + (m_worker ? m_worker->active() : 0));
        append_gauge("fulmaryard_side_retained_bytes", retained_bytes());
        append_gauge("fulmaryard_side_engine_up", m_engine_up ? 1 : 0);
        append_gauge("fulmaryard_side_step_time_microseconds", m_step_time_us.load());
        append_gauge("fulmaryard_configuration_generation", m_configuration.generation());
        return text;
    }

    asio::awaitable<json::value> dump()
    {
        json::object result{
            {"process", m_process},
            {"role", "side"},
            {"address", m_address},
            {"phase", to_json_view(to_string(phase()))},
            {"generation", m_configuration.generation()}};
        json::array links;
        const auto states = m_links.state();
        for (const auto& link : states)
        {
            if (links.size() == max_dumped_links)
                break;
            links.push_back(json::object{
                {"address", link.m_address},
                {"process", link.m_process},
                {"up", link.m_up},
                {"queued_bytes", link.m_queued_bytes},
                {"reconnects", link.m_reconnects}});
        }
        result["links_total"] = states.size();
        result["links"] = std::move(links);
        if (m_engine)
        {
            result["engine"] = dump_engine();
            json::array shards;
            for (const auto& each : m_shards)
            {
                const std::string text = co_await dump_shard(*each);
                shards.push_back(parse_json_or_wrap(text));
            }
            result["shards"] = std::move(shards);
            const std::string gate = co_await asio::co_spawn(
                m_order_strand,
                [this]() -> asio::awaitable<std::string>
                { co_return m_order_gate.dump(steady::now()); },
                asio::use_awaitable);
            result["order_gate"] = parse_json_or_wrap(gate);
        }
        if (m_worker)
        {
            result["worker_up"] = m_worker->worker_up();
            const std::string ledger = co_await m_worker->dump(max_dumped_keys);
            result["ledger"] = parse_json_or_wrap(ledger);
        }
        co_return result;
    }

    json::object dump_engine() const
    {
        const auto state = m_engine->state();
        const std::lock_guard lock(m_engine_info_mutex);
        return {
            {"address", m_settings.m_engine},
            {"up", m_engine_up.load()},
            {"connection", state.m_connection},
            {"queued_bytes", state.m_queued_bytes},
            {"runs_in_flight", state.m_runs_in_flight},
            {"step_time_us", m_step_time_us.load()},
            {"kind", m_engine_info.m_kind},
            {"model", m_engine_info.m_model},
            {"layers", json::array{m_engine_info.m_layers.m_begin, m_engine_info.m_layers.m_end}},
            {"batch_limit", m_engine_info.m_batch_limit},
            {"kv_free", m_engine_info.m_kv_free}};
    }

    static asio::awaitable<std::string> dump_shard(shard& target)
    {
        co_return co_await asio::co_spawn(
            target.m_strand,
            [&target]() -> asio::awaitable<std::string>
            { co_return target.m_node ? target.m_node->dump(max_dumped_streams) : "null"; },
            asio::use_awaitable);
    }

    // Life cycle

    void on_phase(lifecycle_phase phase)
    {
        log_event(log_level::info, "phase").with("phase", to_string(phase));
        if (phase != lifecycle_phase::draining)
            return;
        for (std::size_t i = 0; i < m_shards.size(); ++i)
            post_to_shard(
                i,
                [](stage_node& node)
                {
                    node.begin_drain();
                    return stage_node::actions();
                });
        if (m_worker)
            m_worker->begin_drain();
        trigger_report();
        spawn(m_report_strand, drain_loop());
    }

    bool idle() const
    {
        if (active_streams() > 0 || m_active_orders > 0 || (m_worker && m_worker->active() > 0))
            return false;
        const auto states = m_links.state();
        return std::none_of(
            states.begin(), states.end(),
            [](const auto& link) { return link.m_up && link.m_queued_bytes > 0; });
    }

    asio::awaitable<void> drain_loop()
    {
        asio::steady_timer timer(m_report_strand);
        const auto drain_deadline =
            steady::now() + std::chrono::milliseconds(m_settings.m_drain_limit_ms);
        int idle_count = 0;
        while (idle_count < required_idle_polls && steady::now() < drain_deadline)
        {
            timer.expires_after(state_poll_interval);
            co_await timer.async_wait(use_tuple);
            idle_count = idle() ? idle_count + 1 : 0;
        }
        if (idle_count < required_idle_polls)
            log_event(log_level::warning, "drain_limit_passed")
                .with("streams", active_streams())
                .with("calls", m_worker ? m_worker->active() : 0);
        m_lifecycle.finish_drain();
        m_server.stop_accepting();
        m_follower.stop();
        m_links.stop();
        if (m_engine)
            m_engine->stop();
        if (m_worker)
            m_worker->stop();
        m_on_stopped();
    }

    asio::io_context& m_io;
    side_settings m_settings;
    std::string m_process;
    std::string m_address; ///< Written before the threads of `m_io` start.
    std::function<void()> m_on_stopped;
    process_lifecycle m_lifecycle;

    mutable metrics m_metrics;
    metric_counter& m_runs;
    metric_counter& m_failed_runs;
    metric_histogram& m_run_seconds;

    configuration_state m_configuration;
    configuration_follower m_follower;
    peer_links m_links;
    std::shared_ptr<platform_client> m_platform;
    std::vector<std::unique_ptr<shard>> m_shards;

    std::unique_ptr<engine_link> m_engine; ///< Null if the endpoint is an application worker.
    mutable std::mutex m_engine_info_mutex;
    engine_info m_engine_info;
    bool m_engine_known{false};
    std::atomic<bool> m_engine_up{false};
    std::atomic<std::uint32_t> m_step_time_us{0};

    std::unique_ptr<worker_client> m_worker; ///< Null if the endpoint is an engine.

    io_strand m_report_strand;
    asio::steady_timer m_report_timer;
    std::map<std::string, bool> m_entries; ///< Keys are the addresses of connected entries.

    io_strand m_order_strand;
    order_gate m_order_gate;
    std::uint64_t m_last_ticket{0};
    absl::flat_hash_map<std::uint64_t, order_handler> m_order_handlers;
    std::atomic<std::size_t> m_active_orders{0};

    json_rpc_server m_rpc;
    http_server m_server;
};

side_process::side_process(
    asio::io_context& io, side_settings settings, std::function<void()> on_stopped)
    : m_impl(std::make_unique<impl>(io, std::move(settings), std::move(on_stopped)))
{
}

side_process::~side_process() = default;

absl::StatusOr<std::uint16_t> side_process::start()
{
    return m_impl->start();
}

void side_process::begin_drain(std::string_view reason)
{
    m_impl->begin_drain(reason);
}

lifecycle_phase side_process::phase() const
{
    return m_impl->phase();
}

} // namespace fulmaryard
