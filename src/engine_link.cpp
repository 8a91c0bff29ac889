#include "use_tuple_inl.hpp"
#include "websocket_inl.hpp"

#include <fulmaryard/engine_codec.hpp>
#include <fulmaryard/engine_link.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/peer_address.hpp>

#include <absl/container/flat_hash_map.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket/stream.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

using websocket = beast::websocket::stream<beast::tcp_stream>;
using steady = std::chrono::steady_clock;

struct run_in_flight
{
    stream_id m_stream;
    std::uint64_t m_session{0};
    steady::time_point m_sent;
};

} // namespace

class engine_link::impl : public std::enable_shared_from_this<engine_link::impl>
{
public:
    impl(
        const asio::any_io_executor& executor, std::string address, engine_link_handlers handlers,
        const engine_link_limits& limits)
        : m_strand(asio::make_strand(executor)),
          m_address(std::move(address)),
          m_handlers(std::move(handlers)),
          m_limits(limits),
          m_http(m_strand, m_address, 1),
          m_wake_timer(m_strand),
          m_delay_timer(m_strand),
          m_order_timer(m_strand)
    {
    }

    void start()
    {
        asio::co_spawn(
            m_strand, [self = shared_from_this()] { return self->connect_loop(); }, asio::detached);
    }

    void run(engine_run run, std::uint64_t connection)
    {
        asio::post(
            m_strand,
            [self = shared_from_this(), run = std::move(run), connection]
            {
                if (!self->is_current_connection(connection))
                    return;
                self->m_runs[run.m_run] = {run.m_stream, run.m_session, steady::now()};
                self->m_runs_in_flight = self->m_runs.size();
                self->enqueue(encode_engine_run(run));
            });
    }

    void release(const engine_release& release, std::uint64_t connection)
    {
        asio::post(
            m_strand,
            [self = shared_from_this(), release, connection]
            {
                if (!self->is_current_connection(connection))
                    return;
                // The engine may send no result for a cancelled run.
                absl::erase_if(
                    self->m_runs,
                    [&](const auto& entry)
                    {
                        return entry.second.m_stream == release.m_stream &&
                               entry.second.m_session == release.m_session;
                    });
                self->m_runs_in_flight = self->m_runs.size();
                self->enqueue(encode_engine_release(release));
            });
    }

    void order(engine_order order, std::function<void(absl::Status)> on_end)
    {
        asio::post(
            m_strand,
            [self = shared_from_this(), order = std::move(order),
             on_end = std::move(on_end)]() mutable { self->send_order(order, std::move(on_end)); });
    }

    engine_link_state state() const
    {
        return {m_up, m_connection, m_queued_bytes, m_runs_in_flight};
    }

    void stop()
    {
        m_stopped = true;
        asio::post(
            m_strand,
            [self = shared_from_this()]
            {
                self->close();
                self->m_delay_timer.cancel();
                self->m_order_timer.cancel();
            });
    }

private:
    bool is_current_connection(std::uint64_t connection) const
    {
        return m_up && !m_stopped && connection == m_connection;
    }

    void close()
    {
        if (m_socket)
            beast::get_lowest_layer(*m_socket).close();
        m_wake_timer.cancel();
    }

    void enqueue(std::string text)
    {
        m_queued_bytes += text.size();
        m_queue.push_back(std::move(text));
        if (m_queued_bytes > m_limits.m_max_queued_bytes)
        {
            log_event(log_level::warning, "engine_queue_full").with("bytes", m_queued_bytes.load());
            close();
        }
        m_wake_timer.cancel();
    }

    void send_order(const engine_order& order, std::function<void(absl::Status)> on_end)
    {
        if (!m_up || m_stopped)
        {
            on_end(make_failure(failure_kind::endpoint_lost, "the engine is down"));
            return;
        }
        // Replies to orders carry no id. At most one order is in flight, and a timeout closes the
        // connection, so that a reply always belongs to the order in flight.
        if (m_order_callback)
        {
            on_end(make_failure(failure_kind::conflict, "another order is in flight"));
            return;
        }
        auto text = encode_engine_order(order);
        if (!text.ok())
        {
            on_end(text.status());
            return;
        }
        m_order_callback = std::move(on_end);
        m_order_timer.expires_after(m_limits.m_order_deadline);
        m_order_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& error)
            {
                if (error || !self->m_order_callback)
                    return;
                log_event(log_level::warning, "engine_order_timeout").with("peer", self->m_address);
                self->close();
                self->complete_order(make_failure(
                    failure_kind::deadline_exceeded, "the engine did not answer the order",
                    dispatch_progress::sent));
            });
        enqueue(std::move(*text));
    }

    void complete_order(const absl::Status& result)
    {
        m_order_timer.cancel();
        if (auto on_end = std::exchange(m_order_callback, nullptr))
            on_end(result);
    }

    asio::awaitable<absl::StatusOr<engine_info>> read_info()
    {
        // Constructed outside of the `co_await` expression, because g++ 12 destroys temporary
        // aggregates in such an expression twice.
        http_request request;
        request.m_method = "GET";
        request.m_target = "/v1/info";
        const auto response = co_await m_http.send(std::move(request), m_limits.m_info_interval);
        if (!response.ok())
            co_return response.status();
        if (response->m_status != 200)
            co_return make_failure(
                failure_kind::endpoint_failed, "/v1/info: " + std::to_string(response->m_status));
        co_return parse_engine_info(response->m_body);
    }

    asio::awaitable<void> connect_loop()
    {
        auto backoff = m_limits.m_min_backoff;
        while (!m_stopped)
        {
            const auto info = co_await open_connection();
            if (!info.ok())
            {
                log_event(log_level::warning, "engine_unreachable")
                    .with("peer", m_address)
                    .with("error", message_of(info.status()));
                m_delay_timer.expires_after(backoff);
                if (!m_stopped)
                    co_await m_delay_timer.async_wait(use_tuple);
                backoff = std::min(backoff * 2, m_limits.m_max_backoff);
                continue;
            }
            backoff = m_limits.m_min_backoff;
            co_await serve_connection(*info);
        }
    }

    asio::awaitable<absl::StatusOr<engine_info>> open_connection()
    {
        const auto endpoint = parse_address(m_address);
        if (!endpoint.ok())
            co_return endpoint.status();
        const auto connection_failure = [](const beast::error_code& error)
        { return make_failure(failure_kind::endpoint_lost, error.message()); };
        const auto socket = std::make_shared<websocket>(m_strand);
        m_socket = socket;
        auto& tcp = beast::get_lowest_layer(*socket);
        tcp.expires_after(m_limits.m_handshake_timeout);
        const auto [connect_error] = co_await tcp.async_connect(*endpoint, use_tuple);
        if (connect_error)
            co_return connection_failure(connect_error);
        beast::error_code ignored;
        tcp.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        tcp.expires_never();
        set_keep_alive(*socket, m_limits.m_handshake_timeout, m_limits.m_silence_timeout);
        socket->text(true);
        socket->read_message_max(m_limits.m_max_message_bytes);
        const auto [handshake_error] =
            co_await socket->async_handshake(m_address, "/v1/stream", use_tuple);
        if (handshake_error)
            co_return connection_failure(handshake_error);
        co_return co_await read_info();
    }

    asio::awaitable<void> serve_connection(const engine_info& info)
    {
        if (m_stopped)
            co_return;
        const auto socket = m_socket;
        m_connection.fetch_add(1);
        m_up = true;
        m_open = true;
        m_running_loops = 2;
        log_event(log_level::info, "engine_up")
            .with("peer", m_address)
            .with("model", info.m_model)
            .with("connection", m_connection.load());
        m_handlers.m_on_up(m_connection, info);
        const auto spawn = [this](
                               asio::awaitable<void> (impl::*task)(std::shared_ptr<websocket>),
                               std::shared_ptr<websocket> argument)
        {
            asio::co_spawn(
                m_strand,
                [self = shared_from_this(), task, argument = std::move(argument)]
                { return (self.get()->*task)(argument); },
                asio::detached);
        };
        spawn(&impl::read_loop, socket);
        spawn(&impl::info_loop, socket);
        co_await write_loop(*socket);
        beast::get_lowest_layer(*socket).close();
        m_open = false;
        m_delay_timer.cancel();
        m_up = false;
        m_queue.clear();
        m_queued_bytes = 0;
        m_runs.clear();
        m_runs_in_flight = 0;
        log_event(log_level::warning, "engine_down").with("peer", m_address);
        if (!m_stopped)
            m_handlers.m_on_down();
        complete_order(make_failure(
            failure_kind::endpoint_lost, "the connection to the engine ended",
            dispatch_progress::sent));
        while (m_running_loops > 0)
        {
            m_wake_timer.expires_at(steady::time_point::max());
            co_await m_wake_timer.async_wait(use_tuple);
        }
    }

    asio::awaitable<void> write_loop(websocket& socket)
    {
        while (m_open && !m_stopped)
        {
            if (m_queue.empty())
            {
                m_wake_timer.expires_at(steady::time_point::max());
                co_await m_wake_timer.async_wait(use_tuple);
                continue;
            }
            const std::string text = std::move(m_queue.front());
            m_queue.pop_front();
            m_queued_bytes -= text.size();
            const auto [error, written] =
                co_await socket.async_write(asio::buffer(text), use_tuple);
            if (error)
                co_return;
        }
    }

    asio::awaitable<void> read_loop(std::shared_ptr<websocket> socket)
    {
        beast::flat_buffer buffer;
        while (m_open && !m_stopped)
        {
            const auto [error, size] = co_await socket->async_read(buffer, use_tuple);
            if (error || !m_open || m_stopped)
                break;
            const auto message = decode_engine_message(
                {static_cast<const char*>(buffer.data().data()), buffer.data().size()});
            buffer.clear();
            if (!message.ok())
            {
                log_event(log_level::warning, "engine_message_malformed").with("peer", m_address);
                break;
            }
            handle_message(*message);
        }
        m_open = false;
        beast::get_lowest_layer(*socket).close();
        on_loop_ended();
    }

    /// Polls `/v1/info` for the free KV memory. Failures are ignored; the WebSocket's liveness
    /// check detects a lost engine.
    asio::awaitable<void> info_loop(std::shared_ptr<websocket>)
    {
        while (m_open && !m_stopped)
        {
            m_delay_timer.expires_after(m_limits.m_info_interval);
            co_await m_delay_timer.async_wait(use_tuple);
            if (!m_open || m_stopped)
                break;
            const auto info = co_await read_info();
            if (info.ok() && m_open && !m_stopped)
                m_handlers.m_on_info(*info);
        }
        on_loop_ended();
    }

    void on_loop_ended()
    {
        --m_running_loops;
        m_wake_timer.cancel();
    }

    void handle_message(const engine_message& message)
    {
        if (const auto* answer = std::get_if<engine_order_answer>(&message))
        {
            complete_order(
                answer->m_accepted ? absl::OkStatus()
                                   : make_failure(
                                         failure_kind::stale_epoch, "the engine refused the order",
                                         dispatch_progress::refused));
            return;
        }
        const auto& result = std::get<engine_result>(message);
        std::chrono::nanoseconds duration{0};
        if (const auto run = m_runs.find(result.m_run); run != m_runs.end())
        {
            duration = steady::now() - run->second.m_sent;
            m_runs.erase(run);
            m_runs_in_flight = m_runs.size();
        }
        m_handlers.m_on_result(result, duration);
    }

    asio::strand<asio::any_io_executor> m_strand;
    std::string m_address;
    engine_link_handlers m_handlers;
    engine_link_limits m_limits;
    http_client m_http;
    /// Never expires; cancelled when data is queued, a loop ends or the link is closed.
    asio::steady_timer m_wake_timer;
    /// Delay before a reconnection attempt or the next poll of `/v1/info`.
    asio::steady_timer m_delay_timer;
    asio::steady_timer m_order_timer;
    std::shared_ptr<websocket> m_socket;
    std::deque<std::string> m_queue;
    absl::flat_hash_map<std::uint64_t, run_in_flight> m_runs;
    std::function<void(absl::Status)> m_order_callback;
    bool m_open{false};
    int m_running_loops{0}; ///< Running read and info loops of the current connection.
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_connection{0};
    std::atomic<std::size_t> m_queued_bytes{0};
    std::atomic<std::size_t> m_runs_in_flight{0};
};

engine_link::engine_link(
    const asio::any_io_executor& executor, std::string address, engine_link_handlers handlers,
    engine_link_limits limits)
    : m_impl(std::make_shared<impl>(executor, std::move(address), std::move(handlers), limits))
{
}

engine_link::~engine_link()
{
    stop();
}

void engine_link::start()
{
    m_impl->start();
}

void engine_link::run(engine_run run, std::uint64_t connection)
{
    m_impl->run(std::move(run), connection);
}

void engine_link::release(const engine_release& release, std::uint64_t connection)
{
    m_impl->release(release, connection);
}

void engine_link::order(engine_order order, std::function<void(absl::Status)> on_end)
{
    m_impl->order(std::move(order), std::move(on_end));
}

engine_link_state engine_link::state() const
{
    return m_impl->state();
}

void engine_link::stop()
{
    m_impl->stop();
}

} // namespace fulmaryard
