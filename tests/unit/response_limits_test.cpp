#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/http_transfer.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace fulmaryard;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr auto piece_interval = 20ms;

/// Server that sends a body of 30 bytes one by one, `piece_interval` apart, and falls silent after
/// `m_pieces` of them.
struct trickling_server
{
    trickling_server(asio::io_context& io, int pieces)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          m_pieces(pieces)
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    asio::awaitable<void> serve()
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        std::string received;
        co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), "\r\n\r\n", use_tuple);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), use_tuple);
        asio::steady_timer timer(m_acceptor.get_executor());
        for (int piece = 0; piece < m_pieces; ++piece)
        {
            timer.expires_after(piece_interval);
            co_await timer.async_wait(use_tuple);
            const auto [write_error, size] =
                co_await asio::async_write(socket, asio::buffer("x", 1), use_tuple);
            m_closed = m_closed || write_error;
            if (m_closed)
                co_return;
        }
        char rest = 0;
        co_await asio::async_read(socket, asio::buffer(&rest, 1), use_tuple);
        m_closed = true;
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_pieces;
    bool m_closed{false}; ///< The client has closed the connection.
};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("an answer that arrives slowly")
{
    // Guards against a large answer over a slow link that is given up although it arrives steadily,
    // and against one that stopped and is waited for.
    asio::io_context io;
    response_limits limits{200ms, 200ms, 10s};
    int pieces = 30;
    auto expected = failure_kind::deadline_exceeded;
    bool cancel = false;
    std::size_t body_bytes = 0;
    SUBCASE("is read to its end however long it takes")
    {
        body_bytes = 30;
    }
    SUBCASE("is given up after a pause")
    {
        pieces = 5;
    }
    SUBCASE("is given up at the limit of the whole")
    {
        limits.m_total = 300ms;
    }
    SUBCASE("is given up when its caller says so")
    {
        cancel = true;
        expected = failure_kind::endpoint_lost;
    }
    trickling_server server(io, pieces);
    http_client client(io.get_executor(), server.address(), 0);
    const auto transfer = std::make_shared<http_transfer>();
    absl::StatusOr<http_response> response = absl::UnknownError("not done");
    bool done = false;
    const auto send = [&]() -> asio::awaitable<void>
    {
        http_request request{"GET", "/", {}, {}};
        response =
            co_await client.send(std::move(request), limits, http_client::reuse::allowed, transfer);
    };
    asio::co_spawn(io, send, [&done](const std::exception_ptr&) { done = true; });
    while (!done && io.run_one() > 0)
    {
        if (cancel && transfer->received_bytes() > 0)
            transfer->cancel();
    }
    REQUIRE(done);
    if (body_bytes > 0)
    {
        REQUIRE(response.ok());
        CHECK(response->m_body.size() == body_bytes);
        CHECK(transfer->received_bytes() > body_bytes);
        return;
    }
    REQUIRE_FALSE(response.ok());
    CHECK(kind_of(response.status()) == expected);
    while (!server.m_closed && io.run_one() > 0)
        continue;
    CHECK(server.m_closed);
}

TEST_SUITE_END();
