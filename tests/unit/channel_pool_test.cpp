#include "use_tuple_inl.hpp"

#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace fulmaryard;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

/// Server that sends the same response to every request and counts its connections.
struct endpoint
{
    explicit endpoint(asio::io_context& io, std::string response_text)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          m_response_text(std::move(response_text))
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error)
                co_return;
            ++m_connections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const int connection = m_connections;
        std::string received;
        for (;;)
        {
            const auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", use_tuple);
            if (error)
                co_return;
            received.erase(0, size);
            if (connection <= m_last_silent_connection)
                continue;
            co_await asio::async_write(socket, asio::buffer(m_response_text), use_tuple);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_response_text;
    int m_connections{0};
    int m_last_silent_connection{0}; ///< Requests on connections up to this number get no response.
};

bool call(asio::io_context& io, channel_pool& channels, const std::string& address)
{
    bool answered = false;
    const auto task = [&]() -> asio::awaitable<void>
    {
        http_request request{"GET", "/", {}, {}};
        const auto response = co_await call_endpoint(channels, address, std::move(request), 2s);
        answered = response.ok() && response->m_body == "ok";
    };
    bool done = false;
    asio::co_spawn(io, task(), [&](const std::exception_ptr&) { done = true; });
    io.restart();
    while (!done)
        io.run_one();
    return answered;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("pooled keep-alive connections to an endpoint")
{
    // Guards against opening a new connection for each call, and against reusing a connection that
    // holds unread data after the previous response.
    asio::io_context io;
    channel_pool channels(io.get_executor());
    const auto now = std::chrono::steady_clock::now();

    SUBCASE("are reused by consecutive calls")
    {
        endpoint peer(
            io, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
        CHECK(call(io, channels, peer.address()));
        CHECK(call(io, channels, peer.address()));
        CHECK(peer.m_connections == 1);
        CHECK(channels.idle() == 1);

        SUBCASE("and are all closed when a request on one of them gets no response")
        {
            peer.m_last_silent_connection = peer.m_connections;
            CHECK(call(io, channels, peer.address()));
            CHECK(peer.m_connections == 2);
            CHECK(channels.idle() == 1);
        }
        SUBCASE("and stay in the pool when all of them exceed the idle limit of a call")
        {
            CHECK(channels.take(peer.address(), 0ms, now + 1s) == nullptr);
            channels.on_tick(now);
            CHECK(channels.idle() == 1);
            CHECK(channels.take(peer.address(), 10s, now) != nullptr);
        }
        SUBCASE("and are closed before the keep-alive timeout of their endpoint expires")
        {
            channels.on_tick(now + 5s);
            CHECK(channels.idle() == 0);
        }
    }
    SUBCASE("are not reused when data follows the response")
    {
        endpoint peer(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        CHECK(call(io, channels, peer.address()));
        CHECK(channels.take(peer.address(), 10s, now) == nullptr);
    }
    SUBCASE("are closed after a response with Connection: close")
    {
        endpoint peer(io, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        CHECK(call(io, channels, peer.address()));
        CHECK(channels.idle() == 0);
    }
    SUBCASE("are not reused after their endpoint has closed them")
    {
        {
            endpoint peer(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            CHECK(call(io, channels, peer.address()));
        }
    }
}

TEST_CASE("idle connections to the platform that no longer respond")
{
    // Guards against a client that, after a request on an idle connection got no response, tries
    // the other idle connections in turn, each until the timeout.
    asio::io_context io;
    endpoint peer(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    http_client client(io.get_executor(), peer.address());
    int answered = 0;
    int completed = 0;
    const auto send_request = [&]() -> asio::awaitable<void>
    {
        http_request request{"GET", "/", {}, {}};
        const auto response = co_await client.send(std::move(request), 200ms);
        answered += response.ok() ? 1 : 0;
        ++completed;
    };
    const auto send_concurrently = [&](int count)
    {
        completed = 0;
        answered = 0;
        for (int i = 0; i < count; ++i)
            asio::co_spawn(io, send_request(), asio::detached);
        io.restart();
        while (completed < count)
            io.run_one();
        return answered;
    };
    REQUIRE(send_concurrently(4) == 4);
    REQUIRE(peer.m_connections == 4);
    peer.m_last_silent_connection = peer.m_connections;
    CHECK(send_concurrently(1) == 0);
    CHECK(send_concurrently(1) == 1);
}

TEST_SUITE_END();
