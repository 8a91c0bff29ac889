#include "use_tuple_inl.hpp"

#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metrics.hpp>
#include <fulmaryard/platform_client.hpp>
#include <fulmaryard/worker_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;
using wall = std::chrono::system_clock;

constexpr std::chrono::milliseconds ledger_tick_interval{50};
constexpr std::chrono::milliseconds platform_timeout{1000};
constexpr std::chrono::milliseconds probe_interval{1000};
constexpr std::chrono::milliseconds default_call_timeout{10'000};
constexpr std::chrono::milliseconds max_call_timeout{600'000};

std::chrono::milliseconds timeout_of(const service_call& call)
{
    if (call.m_deadline_ms == 0)
        return default_call_timeout;
    return std::min(std::chrono::milliseconds(call.m_deadline_ms), max_call_timeout);
}

http_request make_request(const service_call& call)
{
    http_request request;
    request.m_method = call.m_method;
    request.m_target = call.m_path;
    request.m_body = call.m_body;
    if (!call.m_content_type.empty())
        request.m_fields.push_back({"Content-Type", call.m_content_type});
    if (!call.m_key.empty())
        request.m_fields.push_back({"Idempotency-Key", call.m_key});
    if (!call.m_request_id.empty())
        request.m_fields.push_back({"X-Request-Id", call.m_request_id});
    return request;
}

/// Returns the result of a call, and logs why it has no response.
service_result make_result(const service_call& call, const absl::StatusOr<http_response>& response)
{
    service_result result;
    result.m_call = call.m_call;
    if (!response.ok())
    {
        log_event(log_level::info, "worker_call_failed")
            .with("request", call.m_request_id)
            .with("reason", message_of(response.status()));
        result.m_failure = kind_of(response.status());
        result.m_outcome = outcome_of(response.status());
        return result;
    }
    result.m_ok = true;
    result.m_status = response->m_status;
    result.m_content_type =
        std::string(find_field(response->m_fields, "Content-Type").value_or(""));
    result.m_body = response->m_body;
    return result;
}

template <typename... Functions>
struct overloaded_functions : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
overloaded_functions(Functions...) -> overloaded_functions<Functions...>;

} // namespace

class worker_client::impl : public std::enable_shared_from_this<worker_client::impl>
{
public:
    impl(
        const asio::any_io_executor& executor, std::string process_id, const std::string& address,
        std::shared_ptr<platform_client> platform, metrics& registry, result_handler on_result)
        : m_executor(executor),
          m_strand(asio::make_strand(executor)),
          m_platform(std::move(platform)),
          m_http(executor, address, 64),
          m_ledger(make_settings(std::move(process_id))),
          m_on_result(std::move(on_result)),
          m_registry(registry),
          m_direct_calls(registry.counter("fulmaryard_side_calls_total", "idempotent=\"true\"")),
          m_ledger_calls(registry.counter("fulmaryard_side_calls_total", "idempotent=\"false\"")),
          m_platform_reads(
              registry.counter("fulmaryard_ledger_platform_calls_total", "operation=\"read\"")),
          m_platform_writes(
              registry.counter("fulmaryard_ledger_platform_calls_total", "operation=\"write\""))
    {
    }

    void start()
    {
        const auto self = shared_from_this();
        asio::co_spawn(
            m_strand, [self] { return self->tick_loop(); }, asio::detached);
        asio::co_spawn(
            asio::make_strand(m_executor), [self] { return self->probe_loop(); }, asio::detached);
    }

    void begin(service_call call)
    {
        if (call.m_idempotent)
        {
            begin_direct(std::move(call));
            return;
        }
        m_ledger_calls.add();
        ++m_posted_calls;
        asio::post(
            m_strand,
            [self = shared_from_this(), call = std::move(call)]
            {
                self->run_actions(self->m_ledger.begin(call, steady::now(), wall::now()));
                --self->m_posted_calls;
            });
    }

    void begin_drain()
    {
        m_draining = true;
        asio::post(m_strand, [self = shared_from_this()] { self->m_ledger.begin_drain(); });
    }

    std::size_t active() const
    {
        return m_posted_calls + m_active_direct_calls + m_pending_ledger_calls;
    }

    bool worker_up() const { return m_worker_up; }

    asio::awaitable<std::string> dump(std::size_t max_keys)
    {
        // A named variable, because g++ 12 destroys a temporary function object in a co_await
        // expression twice, which would release the captured shared_ptr twice.
        const auto dump_ledger = [self = shared_from_this(),
                                  max_keys]() -> asio::awaitable<std::string>
        { co_return self->m_ledger.dump(max_keys); };
        co_return co_await asio::co_spawn(m_strand, dump_ledger, asio::use_awaitable);
    }

    void stop() { m_stopped = true; }

private:
    static call_ledger_settings make_settings(std::string process_id)
    {
        call_ledger_settings settings;
        settings.m_process = std::move(process_id);
        return settings;
    }

    void report_result(const std::string& reply_address, const service_result& result)
    {
        if (!result.m_ok)
            m_registry
                .counter(
                    "fulmaryard_side_call_failures_total",
                    fmt::format(
                        "kind=\"{}\",outcome=\"{}\"", to_string(result.m_failure),
                        to_string(result.m_outcome)))
                .add();
        m_on_result(reply_address, result);
    }

    void begin_direct(service_call call)
    {
        m_direct_calls.add();
        if (m_draining)
        {
            service_result refused;
            refused.m_call = call.m_call;
            refused.m_failure = failure_kind::draining;
            refused.m_outcome = outcome::not_run;
            report_result(call.m_reply_address, refused);
            return;
        }
        ++m_active_direct_calls;
        asio::co_spawn(
            asio::make_strand(m_executor),
            [self = shared_from_this(), call = std::move(call)] { return self->run_direct(call); },
            asio::detached);
    }

    asio::awaitable<void> run_direct(const service_call& call)
    {
        http_request request = make_request(call);
        const auto response = co_await m_http.send(std::move(request), timeout_of(call));
        report_result(call.m_reply_address, make_result(call, response));
        --m_active_direct_calls;
    }

    void run_actions(const call_ledger::actions& ledger_actions)
    {
        const auto spawn = [&](asio::awaitable<void> task)
        { asio::co_spawn(m_strand, std::move(task), asio::detached); };
        const auto self = shared_from_this();
        for (const auto& action : ledger_actions)
        {
            std::visit(
                overloaded_functions{
                    [&](const read_partition& read) { spawn(read_object(self, read)); },
                    [&](const write_partition& write) { spawn(write_object(self, write)); },
                    [&](const run_call& run) { spawn(run_ledger_call(self, run)); },
                    [&](const answer_call& finished)
                    { report_result(finished.m_reply_address, finished.m_result); }},
                action);
        }
        m_pending_ledger_calls = m_ledger.pending();
    }

    // The coroutines below take their arguments by value because they outlive the action list.

    static asio::awaitable<void> read_object(std::shared_ptr<impl> self, read_partition read)
    {
        self->m_platform_reads.add();
        std::string name = partition_object_name(read.m_partition);
        const auto object = co_await self->m_platform->get(std::move(name), platform_timeout);
        self->run_actions(
            self->m_ledger.on_read(read.m_partition, object, steady::now(), wall::now()));
    }

    static asio::awaitable<void> write_object(std::shared_ptr<impl> self, write_partition write)
    {
        self->m_platform_writes.add();
        std::string name = partition_object_name(write.m_partition);
        const auto version = co_await self->m_platform->put(
            std::move(name), std::move(write.m_value), write.m_version, platform_timeout);
        self->run_actions(
            self->m_ledger.on_written(write.m_partition, version, steady::now(), wall::now()));
    }

    /// Uses a new connection for each call: a failed connect then proves that the call was not
    /// sent, and the HTTP client never retries it.
    static asio::awaitable<void> run_ledger_call(std::shared_ptr<impl> self, run_call run)
    {
        http_request request = make_request(run.m_call);
        const auto response = co_await self->m_http.send(
            std::move(request), timeout_of(run.m_call), http_client::reuse::new_connection);
        self->run_actions(self->m_ledger.on_call_ended(
            run.m_ticket, make_result(run.m_call, response), steady::now(), wall::now()));
    }

    asio::awaitable<void> tick_loop()
    {
        asio::steady_timer timer(m_strand);
        while (!m_stopped)
        {
            timer.expires_after(ledger_tick_interval);
            co_await timer.async_wait(use_tuple);
            run_actions(m_ledger.on_tick(steady::now(), wall::now()));
        }
    }

    asio::awaitable<void> probe_loop()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (!m_stopped)
        {
            // A named variable, because g++ 12 frees the strings of a braced temporary in a
            // co_await expression twice.
            http_request request{"GET", "/healthz", {}, ""};
            const auto response = co_await m_http.send(std::move(request), probe_interval);
            // Only a failed connect marks the worker as down; a probe that times out after it was
            // sent does not, because the worker may just be slow.
            const bool up = response.ok() || outcome_of(response.status()) != outcome::not_run;
            if (m_worker_up.exchange(up) != up)
                log_event(log_level::info, up ? "worker_up" : "worker_down")
                    .with("peer", m_http.address());
            timer.expires_after(probe_interval);
            co_await timer.async_wait(use_tuple);
        }
    }

    asio::any_io_executor m_executor;
    asio::strand<asio::any_io_executor> m_strand;
    std::shared_ptr<platform_client> m_platform;
    http_client m_http;
    call_ledger m_ledger; ///< Accessed on `m_strand` only.
    result_handler m_on_result;
    metrics& m_registry;
    metric_counter& m_direct_calls;
    metric_counter& m_ledger_calls;
    metric_counter& m_platform_reads;
    metric_counter& m_platform_writes;
    std::atomic<std::size_t> m_posted_calls{0}; ///< Posted to `m_strand`, not yet handled there.
    std::atomic<std::size_t> m_active_direct_calls{0};
    std::atomic<std::size_t> m_pending_ledger_calls{0};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_worker_up{false};
};

worker_client::worker_client(
    const asio::any_io_executor& executor, std::string process_id, const std::string& address,
    std::shared_ptr<platform_client> platform, metrics& registry, result_handler on_result)
    : m_impl(std::make_shared<impl>(
          executor, std::move(process_id), address, std::move(platform), registry,
          std::move(on_result)))
{
}

worker_client::~worker_client()
{
    stop();
}

void worker_client::start()
{
    m_impl->start();
}

void worker_client::begin(service_call call)
{
    m_impl->begin(std::move(call));
}

void worker_client::begin_drain()
{
    m_impl->begin_drain();
}

std::size_t worker_client::active() const
{
    return m_impl->active();
}

bool worker_client::worker_up() const
{
    return m_impl->worker_up();
}

asio::awaitable<std::string> worker_client::dump(std::size_t max_keys) const
{
    return m_impl->dump(max_keys);
}

void worker_client::stop()
{
    m_impl->stop();
}

} // namespace fulmaryard
