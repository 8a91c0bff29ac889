#include "http_conversion_inl.hpp"
#include "operation_deadline.hpp"
#include "request_reader.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/peer_address.hpp>
#include <fulmaryard/stream_id.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/websocket/rfc6455.hpp>

#include <atomic>
#include <exception>
#include <optional>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

// Connections beyond the limit that may be open while as many others are being closed for them.
constexpr std::size_t max_closing_connections = 32;

// When a request that found no memory should be tried again. Unfinished requests make room sooner.
constexpr std::chrono::milliseconds memory_retry_after{1'000};

absl::Status write_status(const beast::error_code& error)
{
    if (!error)
        return absl::OkStatus();
    const auto kind = error == beast::error::timeout ? failure_kind::request_timeout
                                                     : failure_kind::endpoint_lost;
    return make_failure(kind, error.message(), dispatch_progress::sent);
}

/// An exchange on a TCP connection of the server.
class connection_exchange final : public http_exchange
{
public:
    connection_exchange(
        beast::tcp_stream& stream, operation_deadline& deadline, std::uint64_t connection,
        http_request request, bool keep_alive, std::chrono::milliseconds write_deadline,
        const std::atomic<bool>& keep_alive_disabled)
        : m_stream(stream),
          m_deadline(deadline),
          m_connection(connection),
          m_request(std::move(request)),
          m_keep_alive(keep_alive),
          m_write_deadline(write_deadline),
          m_keep_alive_disabled(keep_alive_disabled)
    {
    }

    ~connection_exchange() override { m_watch->m_active = false; }

    const http_request& request() const override { return m_request; }

    std::string take_body() override { return std::exchange(m_request.m_body, {}); }

    std::uint64_t connection() const override { return m_connection; }

    asio::any_io_executor executor() override { return m_stream.get_executor(); }

    asio::awaitable<absl::Status> respond(http_response response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.m_status), 11);
        set_fields(message, response.m_fields);
        message.body() = std::move(response.m_body);
        message.keep_alive(m_keep_alive = m_keep_alive && !m_keep_alive_disabled);
        message.prepare_payload();
        m_response_started = true;
        start_write();
        const auto [error, written] = co_await http::async_write(m_stream, message, use_tuple);
        co_return finish_write(error);
    }

    asio::awaitable<absl::Status> begin_event_stream(std::vector<http_field> fields) override
    {
        fields.push_back({"Content-Type", "text/event-stream"});
        fields.push_back({"Cache-Control", "no-store"});
        http_response head{200, std::move(fields), {}};
        return begin_chunked(std::move(head));
    }

    asio::awaitable<absl::Status> begin_chunked(http_response head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.m_status), 11);
        set_fields(message, head.m_fields);
        message.chunked(true);
        message.keep_alive(m_keep_alive = m_keep_alive && !m_keep_alive_disabled);
        http::response_serializer<http::empty_body> serializer(message);
        m_response_started = true;
        start_write();
        const auto [error, written] =
            co_await http::async_write_header(m_stream, serializer, use_tuple);
        co_return finish_write(error);
    }

    asio::awaitable<absl::Status> send_chunk(std::string_view text) override
    {
        start_write();
        const auto [error, written] = co_await asio::async_write(
            m_stream, http::make_chunk(asio::const_buffer(text.data(), text.size())), use_tuple);
        co_return finish_write(error);
    }

    asio::awaitable<absl::Status> send_last_chunk() override
    {
        start_write();
        const auto [error, written] =
            co_await asio::async_write(m_stream, http::make_chunk_last(), use_tuple);
        co_return finish_write(error);
    }

    void abort_connection() override
    {
        m_response_started = true;
        m_usable = false;
        m_stream.close();
    }

    bool response_started() const override { return m_response_started; }

    void watch_for_disconnect(std::function<void()> on_disconnect) override
    {
        m_watch->m_on_disconnect = std::move(on_disconnect);
        m_watch->m_active = true;
        wait_for_disconnect(m_watch, m_stream.socket());
    }

    bool client_disconnected() override
    {
        const auto error = peek(m_stream.socket());
        return error && error != asio::error::would_block;
    }

    /// Returns false once a write has failed or the connection has been aborted.
    bool usable() const { return m_usable; }

    /// Whether the connection stays open after the response.
    bool keep_alive() const { return m_keep_alive; }

    /// Cancels the watch so that the next request can be read.
    void cancel_watch()
    {
        if (!m_watch->m_active)
            return;
        m_watch->m_active = false;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

private:
    struct disconnect_watch
    {
        bool m_active{false};
        std::function<void()> m_on_disconnect;
    };

    /// Checks for received data or end of file without consuming anything. Returns `would_block`
    /// if there is neither.
    static beast::error_code peek(asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        beast::error_code error;
        // On a socket in blocking mode, a synchronous receive without pending data would block the
        // thread, and with it all handlers queued for that thread.
        socket.non_blocking(true, error);
        if (!error)
            socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error;
    }

    static void wait_for_disconnect(
        const std::shared_ptr<disconnect_watch>& watch, asio::ip::tcp::socket& socket)
    {
        // The wait completes when the socket becomes readable: on end of file, or on data of a
        // pipelined request, which is not consumed and ends the watch. It can also complete
        // spuriously, since epoll may report readiness for data that another read has consumed in
        // the meantime.
        socket.async_wait(
            asio::ip::tcp::socket::wait_read,
            [watch, &socket](const beast::error_code& error)
            {
                if (!watch->m_active)
                    return;
                const auto peek_error = error ? error : peek(socket);
                if (peek_error == asio::error::would_block)
                    wait_for_disconnect(watch, socket);
                else if (peek_error)
                {
                    watch->m_active = false;
                    watch->m_on_disconnect();
                }
            });
    }

    void start_write()
    {
        m_deadline.start(
            operation_deadline::operation::write,
            std::chrono::steady_clock::now() + m_write_deadline);
    }

    absl::Status finish_write(beast::error_code error)
    {
        const bool expired = m_deadline.stop();
        if (error && expired)
            error = beast::error::timeout;
        if (error)
        {
            m_usable = false;
            log_event(log_level::info, "response_cut")
                .with("connection", m_connection)
                .with("reason", error.message());
        }
        return write_status(error);
    }

    beast::tcp_stream& m_stream;
    operation_deadline& m_deadline;
    std::uint64_t m_connection;
    http_request m_request;
    bool m_keep_alive;
    bool m_response_started{false};
    bool m_usable{true};
    std::chrono::milliseconds m_write_deadline;
    const std::atomic<bool>& m_keep_alive_disabled;
    std::shared_ptr<disconnect_watch> m_watch{std::make_shared<disconnect_watch>()};
};

/// Counts a request as in progress during the lifetime of the object.
class active_exchange_guard
{
public:
    explicit active_exchange_guard(std::atomic<std::size_t>& count) : m_count(count)
    {
        m_count.fetch_add(1);
    }
    ~active_exchange_guard() { m_count.fetch_sub(1); }

    active_exchange_guard(const active_exchange_guard&) = delete;
    active_exchange_guard& operator=(const active_exchange_guard&) = delete;

private:
    std::atomic<std::size_t>& m_count;
};

void log_exception(const std::exception_ptr& failure, std::uint64_t connection)
{
    if (!failure)
        return;
    std::string error = "unknown";
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& exception)
    {
        error = exception.what();
    }
    catch (...)
    {
    }
    log_event(log_level::error, "connection_failed")
        .with("connection", connection)
        .with("error", error);
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(
        asio::io_context& io, http_server_limits limits, handler on_request,
        upgrade_handler on_upgrade)
        : m_io(io),
          m_limits(limits),
          m_on_request(std::move(on_request)),
          m_on_upgrade(std::move(on_upgrade)),
          m_acceptor(asio::make_strand(io)),
          m_memory(limits.m_request_memory_bytes),
          m_max_body_bytes(limits.m_max_body_bytes)
    {
    }

    asio::awaitable<void> accept_loop();
    /// Serves the requests of one connection until it closes or is upgraded.
    asio::awaitable<void> serve(beast::tcp_stream stream, std::uint64_t connection);
    /// Responds to a request that could not be read, and drains the connection. Returns false if
    /// the connection itself failed.
    asio::awaitable<bool> respond_to_read_error(beast::tcp_stream& stream, beast::error_code error);
    /// Whether another connection may be open, if need be in the place of one whose caller is
    /// silent.
    bool make_room_for_connection();

    asio::io_context& m_io;
    http_server_limits m_limits;
    handler m_on_request;
    upgrade_handler m_on_upgrade;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_keep_alive_disabled{false}; ///< Each response closes its connection.
    std::atomic<std::size_t> m_open_connections{0};
    std::uint64_t m_accepted_count{0}; ///< Since the start. Used by the accept loop only.
    std::atomic<std::size_t> m_active_exchanges{0};
    connection_registry m_connections;
    request_memory m_memory;
    std::atomic<std::size_t> m_max_body_bytes;
};

bool http_server::state::make_room_for_connection()
{
    const auto open = m_open_connections.load();
    if (open < m_limits.m_max_connections)
        return true;
    return open < m_limits.m_max_connections + max_closing_connections &&
           m_connections.close_longest();
}

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!m_stopping)
    {
        auto [error, socket] = co_await m_acceptor.async_accept(asio::make_strand(m_io), use_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
        {
            log_event(log_level::warning, "accept_failed").with("error", error.message());
            asio::steady_timer pause(m_acceptor.get_executor(), std::chrono::milliseconds(50));
            co_await pause.async_wait(use_tuple);
            continue;
        }
        if (!make_room_for_connection())
        {
            log_event(log_level::warning, "connection_limit")
                .with("open", m_open_connections.load());
            continue; // The destructor closes the socket.
        }
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto executor = socket.get_executor();
        m_open_connections.fetch_add(1);
        const std::uint64_t connection = ++m_accepted_count;
        asio::co_spawn(
            executor, serve(beast::tcp_stream(std::move(socket)), connection),
            [self, connection](const std::exception_ptr& failure)
            {
                self->m_open_connections.fetch_sub(1);
                log_exception(failure, connection);
            });
    }
}

asio::awaitable<bool>
http_server::state::respond_to_read_error(beast::tcp_stream& stream, beast::error_code error)
{
    auto kind = failure_kind::invalid_request;
    auto status = http::status::bad_request;
    if (error == beast::error::timeout)
    {
        kind = failure_kind::request_timeout;
        status = http::status::request_timeout;
    }
    else if (error == http::error::body_limit)
    {
        kind = failure_kind::payload_too_large;
        status = http::status::payload_too_large;
    }
    else if (error == boost::system::errc::not_enough_memory)
    {
        kind = failure_kind::overloaded;
        status = http::status::service_unavailable;
    }
    else if (error == http::error::header_limit || error == http::error::buffer_overflow)
        status = http::status::request_header_fields_too_large;
    else if (error.category() != beast::error_code(http::error::bad_method).category())
        co_return false; // The connection itself failed, so no response can be delivered.
    http_response rejection = error_response(
        make_failure(kind, error.message()), to_string(make_stream_id()),
        kind == failure_kind::overloaded ? memory_retry_after : std::chrono::milliseconds(0));
    http::response<http::string_body> message(status, 11);
    set_fields(message, rejection.m_fields);
    message.body() = std::move(rejection.m_body);
    message.keep_alive(false);
    message.prepare_payload();
    stream.expires_after(m_limits.m_write_deadline);
    co_await http::async_write(stream, message, use_tuple);
    beast::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Closing a socket with unread data makes the kernel reset the connection, possibly before the
    // client has read the response. Discards up to 1 MiB that the client still sends, for up to 1
    // s.
    std::array<char, 4096> discarded{};
    stream.expires_after(std::chrono::seconds(1));
    for (int reads = 0; reads < 256; ++reads)
    {
        const auto [read_error, size] =
            co_await stream.async_read_some(asio::buffer(discarded), use_tuple);
        if (read_error)
            break;
    }
    co_return true;
}

asio::awaitable<void> http_server::state::serve(beast::tcp_stream stream, std::uint64_t connection)
{
    const auto self = shared_from_this();
    operation_deadline deadline(stream);
    request_reader reader(
        stream, deadline, m_connections, m_memory, connection, m_limits.m_max_header_bytes);
    while (!m_stopping)
    {
        if (!co_await reader.wait_for_request(m_limits.m_idle_deadline))
            break;
        std::optional<request_reader::request_parser> parser;
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(m_limits.m_max_header_bytes));
        parser->body_limit(m_max_body_bytes.load());
        // Counts from the first byte on: a process that stops when nothing is in progress must not
        // leave a request behind that was read but not handed over.
        const active_exchange_guard guard(m_active_exchanges);
        const beast::error_code error = co_await reader.read(*parser, m_limits.m_request_deadline);
        if (error)
        {
            // What was read makes room for others while the response is sent.
            parser.reset();
            reader.release();
            co_await respond_to_read_error(stream, error);
            break;
        }
        if (m_on_upgrade && beast::websocket::is_upgrade(parser->get()))
        {
            m_on_upgrade(stream.release_socket(), parser->release());
            co_return;
        }
        auto message = parser->release();
        parser.reset();
        http_request request{
            std::string(message.method_string()), std::string(message.target()),
            copy_fields(message.base()), std::move(message.body())};
        connection_exchange exchange(
            stream, deadline, connection, std::move(request), message.keep_alive(),
            m_limits.m_write_deadline, m_keep_alive_disabled);
        std::exception_ptr failure;
        try
        {
            co_await m_on_request(exchange);
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        log_exception(failure, connection);
        exchange.cancel_watch();
        // Without its end, a response that has begun is not taken for a complete one.
        if (failure && exchange.response_started())
            break;
        if (!exchange.response_started())
        {
            // A named object, since g++ 12 frees the members of a braced temporary inside a
            // co_await expression twice.
            http_response empty{500, {}, {}};
            std::ignore = co_await exchange.respond(std::move(empty));
        }
        if (!exchange.usable() || !exchange.keep_alive())
            break;
        reader.release();
    }
    beast::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

http_server::http_server(
    asio::io_context& io, http_server_limits limits, handler on_request, upgrade_handler on_upgrade)
    : m_state(std::make_shared<state>(io, limits, std::move(on_request), std::move(on_upgrade)))
{
}

http_server::~http_server()
{
    stop_accepting();
}

absl::StatusOr<std::uint16_t> http_server::listen(const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint.ok())
        return endpoint.status();
    auto& acceptor = m_state->m_acceptor;
    beast::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
    {
        return make_failure(
            failure_kind::internal,
            fmt::format("cannot listen on {}: {}", address, error.message()));
    }
    const std::uint16_t port = acceptor.local_endpoint().port();
    asio::co_spawn(acceptor.get_executor(), m_state->accept_loop(), asio::detached);
    return port;
}

void http_server::stop_accepting()
{
    m_state->m_stopping = true;
    asio::post(
        m_state->m_acceptor.get_executor(),
        [state = m_state]
        {
            beast::error_code ignored;
            state->m_acceptor.close(ignored);
        });
}

void http_server::disable_keep_alive()
{
    m_state->m_keep_alive_disabled = true;
}

void http_server::set_max_body_bytes(std::size_t bytes)
{
    m_state->m_max_body_bytes = bytes;
}

std::size_t http_server::request_bytes() const
{
    return m_state->m_memory.used();
}

std::size_t http_server::active_exchanges() const
{
    return m_state->m_active_exchanges.load();
}

} // namespace fulmaryard
