#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <array>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

/// Connection of a caller that blocks. To be used by a thread other than that of the server.
class blocking_caller
{
public:
    explicit blocking_caller(std::uint16_t port) : m_socket(m_io)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(std::string_view text) { asio::write(m_socket, asio::buffer(text)); }

    /// Reads until the server closes the connection.
    std::string read_all()
    {
        std::string received;
        std::array<char, 64 * 1024> part{};
        boost::system::error_code error;
        while (!error)
        {
            const auto size = m_socket.read_some(asio::buffer(part), error);
            received.append(part.data(), size);
        }
        return received;
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
};

/// Runs the event loop until `answer` is there, for 10 s at most.
std::string run_until_answered(asio::io_context& io, std::future<std::string>& answer)
{
    const auto end = steady::now() + 10s;
    io.restart();
    while (answer.wait_for(0s) != std::future_status::ready && steady::now() < end)
        io.run_for(5ms);
    return answer.wait_for(0s) == std::future_status::ready ? answer.get() : "no answer";
}

std::string body_of(const std::string& response)
{
    const auto end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a request whose handler fails")
{
    // Guards against a whole request that gets neither an answer nor a refusal.
    asio::io_context io;
    bool began = false;
    bool malformed = false;
    http_server server(
        io, {},
        [&](http_exchange& exchange) -> asio::awaitable<void>
        {
            if (malformed)
            {
                http_response response{204, {}, "a body that this status does not allow"};
                std::ignore = co_await exchange.respond(std::move(response));
            }
            if (began)
            {
                http_response head{200, {}, {}};
                std::ignore = co_await exchange.begin_chunked(std::move(head));
                std::ignore = co_await exchange.send_chunk("half");
            }
            throw std::runtime_error("no memory");
        });
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port.ok());
    const auto request = [&]
    {
        auto answer = std::async(
            std::launch::async,
            [&]
            {
                blocking_caller caller(*port);
                caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                return caller.read_all();
            });
        return run_until_answered(io, answer);
    };
    SUBCASE("before its response is answered with 500")
    {
        CHECK(request().starts_with("HTTP/1.1 500 "));
    }
    SUBCASE("as its response cannot be written is answered with 500")
    {
        malformed = true;
        CHECK(request().starts_with("HTTP/1.1 500 "));
    }
    SUBCASE("in the middle of its response gets no end that looks complete")
    {
        began = true;
        const auto response = request();
        CHECK(response.starts_with("HTTP/1.1 200 "));
        CHECK(body_of(response) == "4\r\nhalf\r\n");
    }
    SUBCASE("no longer counts as in progress")
    {
        request();
        CHECK(server.active_exchanges() == 0);
    }
}

TEST_CASE(
    "requests that arrive while the server is held up are answered, also after its idle limit")
{
    // Guards against a process that takes its own pause for the silence of its callers.
    constexpr int callers = 300;
    http_server_limits limits;
    limits.m_idle_deadline = 500ms;
    asio::io_context io;
    http_server server(
        io, limits,
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            http_response response{200, {}, {}};
            std::ignore = co_await exchange.respond(std::move(response));
        });
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port.ok());
    std::vector<std::unique_ptr<blocking_caller>> connections;
    for (int i = 0; i < callers; ++i)
    {
        connections.push_back(std::make_unique<blocking_caller>(*port));
        io.poll();
    }
    const auto idle_end = steady::now() + limits.m_idle_deadline;
    // A timer that expires first makes the event loop look at all timers before it has read all
    // requests.
    asio::steady_timer tick(io, steady::now() + 1ms);
    tick.async_wait([](const boost::system::error_code&) {});
    io.poll();
    std::this_thread::sleep_for(5ms);
    for (const auto& connection : connections)
        connection->send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_until(idle_end + 50ms);
    auto answered = std::async(
        std::launch::async,
        [&]
        {
            int count = 0;
            for (const auto& connection : connections)
                count += connection->read_all().starts_with("HTTP/1.1 200 ") ? 1 : 0;
            return std::to_string(count);
        });
    CHECK(run_until_answered(io, answered) == std::to_string(callers));
}

TEST_CASE("a request that was read but not handed to its handler counts as in progress")
{
    // Guards against a process that stops between the two, so that the request gets no answer.
    asio::io_context io;
    http_server server(
        io, {},
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            http_response response{200, {}, {}};
            std::ignore = co_await exchange.respond(std::move(response));
        });
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port.ok());
    std::vector<std::unique_ptr<blocking_caller>> connections;
    for (int i = 0; i < 100; ++i)
    {
        connections.push_back(std::make_unique<blocking_caller>(*port));
        io.poll();
    }
    std::size_t in_progress = 0;
    asio::steady_timer stop(io, steady::now() + 10ms);
    stop.async_wait([&](const boost::system::error_code&)
                    { in_progress = server.active_exchanges(); });
    for (const auto& connection : connections)
        connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(30ms);
    io.restart();
    io.run_for(50ms);
    CHECK(in_progress > 0);
}

TEST_CASE("a request whose bytes never stop")
{
    // Guards against a caller who holds a connection past its time limit.
    http_server_limits limits;
    limits.m_request_deadline = 300ms;
    asio::io_context io;
    http_server server(
        io, limits,
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            http_response response{200, {}, {}};
            std::ignore = co_await exchange.respond(std::move(response));
        });
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port.ok());
    auto answer = std::async(
        std::launch::async,
        [&]
        {
            blocking_caller caller(*port);
            caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            // Extensions of chunks do not count toward the size of the body.
            const std::string chunk = "1;" + std::string(8'000, 'e') + "\r\nx\r\n";
            const auto end = steady::now() + 5s;
            try
            {
                while (steady::now() < end)
                    caller.send(chunk);
            }
            catch (const std::exception&)
            {
                return std::string("closed");
            }
            return std::string("read on");
        });
    CHECK(run_until_answered(io, answer) == "closed");
}

TEST_SUITE_END();
