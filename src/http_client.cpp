#include "http_conversion_inl.hpp"
#include "late_reads.hpp"
#include "operation_deadline.hpp"
#include "response_parser_inl.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/http_transfer.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

absl::Status io_failure(const beast::error_code& error, dispatch_progress progress)
{
    const auto kind = error == beast::error::timeout ? failure_kind::deadline_exceeded
                                                     : failure_kind::endpoint_lost;
    return make_failure(kind, error.message(), progress);
}

absl::Status cancelled_failure()
{
    return make_failure(
        failure_kind::endpoint_lost, "the exchange was cancelled", dispatch_progress::sent);
}

// Largest number of received bytes that are not parsed yet. It also limits what the parser itself
// does not, such as the extension of a chunk.
constexpr std::size_t max_buffered_bytes = 128 * 1024;

/// One connection, with the buffer of the bytes that were read but not yet parsed.
struct pooled_connection
{
    using operation = operation_deadline::operation;

    explicit pooled_connection(const asio::any_io_executor& executor)
        : m_stream(executor),
          m_deadline(m_stream)
    {
    }

    /// Ends the deadline of an operation. Returns its error, or the time-out that ended it.
    beast::error_code finish(const beast::error_code& error)
    {
        const bool expired = m_deadline.stop();
        return error && expired ? beast::error::timeout : error;
    }

    /// Whether the peer has neither closed the connection nor sent bytes that answer no request.
    bool is_open_and_idle()
    {
        auto& socket = m_stream.socket();
        beast::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

    beast::tcp_stream m_stream;
    operation_deadline m_deadline; ///< To be used on the strand of the stream.
    beast::flat_buffer m_buffer{max_buffered_bytes};
};

/// A faulty server may write a refusal again as the answer to the next request on its connection.
bool is_refusal(unsigned status)
{
    return status == 429 || status >= 500;
}

/// `response_limits` from the start of one exchange on.
struct exchange_deadlines
{
    using time_point = std::chrono::steady_clock::time_point;

    exchange_deadlines(time_point start, response_limits limits)
        : m_first_byte(start + std::min(limits.m_first_byte, limits.m_total)),
          m_end(start + limits.m_total),
          m_stall(limits.m_stall)
    {
    }

    /// Deadline of the next read after bytes of the response were read at `now`.
    time_point next_read(time_point now) const { return std::min(m_end, now + m_stall); }

    time_point m_first_byte;
    time_point m_end;
    std::chrono::milliseconds m_stall;
};

/// The result of sending a request on one connection.
struct attempt_result
{
    absl::StatusOr<http_response> m_response;
    /// Failed, no timeout, and nothing that was read is certain to answer this request.
    bool m_unanswered{false};
    bool m_reusable{false}; ///< The connection may serve further requests.
};

} // namespace

struct http_client::state
{
    asio::any_io_executor m_executor;
    std::string m_address;
    std::size_t m_max_idle;
    std::size_t m_max_response_bytes;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<pooled_connection>> m_idle;

    /// Returns the usable connection that was put back last, or nullptr if there is none.
    std::shared_ptr<pooled_connection> take_idle()
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty())
        {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (connection->is_open_and_idle())
                return connection;
        }
        return nullptr;
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    void put_idle(std::shared_ptr<pooled_connection> connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < m_max_idle)
            m_idle.push_back(std::move(connection));
    }

    void drop_idle()
    {
        const std::lock_guard lock(m_mutex);
        m_idle.clear();
    }

    asio::awaitable<absl::StatusOr<std::shared_ptr<pooled_connection>>>
    connect(std::chrono::steady_clock::time_point deadline)
    {
        const auto endpoint = parse_address(m_address);
        if (!endpoint.ok())
            co_return endpoint.status();
        auto connection = std::make_shared<pooled_connection>(asio::make_strand(m_executor));
        connection->m_stream.expires_at(deadline);
        const auto [error] = co_await connection->m_stream.async_connect(*endpoint, use_tuple);
        if (error)
            co_return io_failure(error, dispatch_progress::not_sent);
        connection->m_stream.expires_never();
        beast::error_code ignored;
        connection->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        co_return connection;
    }

    /// Reads one response, recording its progress in `transfer` unless that is null. `next_read` is
    /// the deadline of the next read.
    static asio::awaitable<beast::error_code> read_response(
        pooled_connection& connection, response_parser<http::string_body>& parser,
        const exchange_deadlines& deadlines, exchange_deadlines::time_point& next_read,
        http_transfer* transfer)
    {
        parser.eager(true);
        late_reads late;
        while (!parser.is_done())
        {
            connection.m_deadline.start(pooled_connection::operation::read, next_read);
            const auto [result, size] = co_await http::async_read_some(
                connection.m_stream, connection.m_buffer, parser, use_tuple);
            const auto error = connection.finish(result);
            const auto now = std::chrono::steady_clock::now();
            if (transfer != nullptr)
                transfer->on_received(size, now);
            if (error)
                co_return error;
            if (!late.on_read(size, now, deadlines.m_end))
                co_return beast::error_code(beast::error::timeout);
            if (size > 0)
                next_read = deadlines.next_read(now);
        }
        co_return beast::error_code{};
    }

    /// Writes the request and reads the response. `reused` is whether the connection has served an
    /// earlier request. Runs on the strand of `connection`.
    asio::awaitable<attempt_result> exchange(
        pooled_connection& connection, const http::request<http::string_body>& message,
        const exchange_deadlines& deadlines, http_transfer* transfer, bool reused)
    {
        auto next_read = deadlines.m_first_byte;
        connection.m_deadline.start(pooled_connection::operation::write, next_read);
        const auto [write_result, written] =
            co_await http::async_write(connection.m_stream, message, use_tuple);
        const auto write_error = connection.finish(write_result);
        if (write_error)
            co_return attempt_result{
                io_failure(write_error, dispatch_progress::sent),
                write_error != beast::error::timeout, false};
        std::optional<response_parser<http::string_body>> parser;
        for (int provisional = 0;; ++provisional)
        {
            parser.emplace();
            parser->body_limit(m_max_response_bytes);
            if (message.method() == http::verb::head)
                parser->skip(true);
            const auto read_error =
                co_await read_response(connection, *parser, deadlines, next_read, transfer);
            if (read_error)
            {
                const bool nothing_read =
                    provisional == 0 && !parser->got_some() && read_error != beast::error::timeout;
                co_return attempt_result{
                    io_failure(read_error, dispatch_progress::sent), nothing_read, false};
            }
            if (!is_provisional(parser->get().result_int()))
                break;
            if (provisional == max_provisional_responses)
            {
                co_return attempt_result{
                    make_failure(
                        failure_kind::endpoint_failed, "too many provisional responses",
                        dispatch_progress::sent),
                    false, false};
            }
        }
        const bool surplus = connection.m_buffer.size() != 0;
        if (surplus && reused)
        {
            co_return attempt_result{
                make_failure(
                    failure_kind::endpoint_failed, "more than one response to a request",
                    dispatch_progress::sent),
                true, false};
        }
        const bool reusable =
            parser->get().keep_alive() && !surplus && !is_refusal(parser->get().result_int());
        auto response = parser->release();
        co_return attempt_result{
            http_response{
                response.result_int(), copy_fields(response.base()), std::move(response.body())},
            false, reusable};
    }

    /// Runs `exchange` on the strand of `connection`.
    asio::awaitable<attempt_result> exchange_on_strand(
        const std::shared_ptr<pooled_connection>& connection,
        const http::request<http::string_body>& message, const exchange_deadlines& deadlines,
        http_transfer* transfer, bool reused)
    {
        const auto executor = connection->m_stream.get_executor();
        if (transfer != nullptr)
        {
            const bool started = transfer->on_started(
                [executor, weak = std::weak_ptr(connection)]
                {
                    asio::post(
                        executor,
                        [weak]
                        {
                            if (const auto cancelled = weak.lock())
                                cancelled->m_stream.close();
                        });
                });
            if (!started)
                co_return attempt_result{cancelled_failure(), false, false};
        }
        co_return co_await asio::co_spawn(
            executor, exchange(*connection, message, deadlines, transfer, reused),
            asio::use_awaitable);
    }
};

http_client::http_client(
    asio::any_io_executor executor, std::string address, std::size_t max_idle,
    std::size_t max_response_bytes)
    : m_state(std::make_shared<state>())
{
    m_state->m_executor = std::move(executor);
    m_state->m_address = std::move(address);
    m_state->m_max_idle = max_idle;
    m_state->m_max_response_bytes = max_response_bytes;
}

http_client::~http_client() = default;

const std::string& http_client::address() const
{
    return m_state->m_address;
}

asio::awaitable<absl::StatusOr<http_response>>
http_client::send(http_request request, std::chrono::milliseconds deadline, reuse policy)
{
    const response_limits limits{deadline, deadline, deadline};
    co_return co_await send(std::move(request), limits, policy, nullptr);
}

asio::awaitable<absl::StatusOr<http_response>> http_client::send(
    http_request request, response_limits limits, reuse policy,
    std::shared_ptr<http_transfer> transfer)
{
    const auto self = m_state;
    const exchange_deadlines deadlines(std::chrono::steady_clock::now(), limits);
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    set_fields(message, request.m_fields);
    message.set(http::field::host, self->m_address);
    message.body() = std::move(request.m_body);
    message.prepare_payload();

    if (policy == reuse::allowed)
    {
        if (auto connection = self->take_idle())
        {
            auto result = co_await self->exchange_on_strand(
                connection, message, deadlines, transfer.get(), true);
            if (result.m_reusable)
                self->put_idle(std::move(connection));
            // A connection can stop responding without being closed. The other pooled connections
            // have usually failed in the same way, so all of them are dropped.
            else if (!result.m_response.ok())
                self->drop_idle();
            const bool cancelled = transfer != nullptr && transfer->cancelled();
            if (!result.m_unanswered || cancelled)
                co_return std::move(result.m_response);
        }
    }
    auto connection = co_await self->connect(deadlines.m_first_byte);
    if (!connection.ok())
        co_return connection.status();
    auto result =
        co_await self->exchange_on_strand(*connection, message, deadlines, transfer.get(), false);
    if (result.m_reusable)
        self->put_idle(std::move(*connection));
    co_return std::move(result.m_response);
}

} // namespace fulmaryard
