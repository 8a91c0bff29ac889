#include "use_tuple_inl.hpp"

#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/endpoint_channel.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

using steady = std::chrono::steady_clock;

/// Endpoint that runs in a thread of its own and answers while the thread of the test does not run.
class sound_endpoint
{
public:
    /// Answers once `answer_all` was called, or at once if `answers_at_once`.
    explicit sound_endpoint(bool answers_at_once)
        : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}),
          m_gate(m_io, answers_at_once ? steady::time_point::min() : steady::time_point::max()),
          m_address(fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port()))
    {
        m_acceptor.listen(1024);
        asio::co_spawn(m_io, accept(), asio::detached);
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~sound_endpoint()
    {
        m_io.stop();
        m_thread.join();
    }

    sound_endpoint(const sound_endpoint&) = delete;
    sound_endpoint& operator=(const sound_endpoint&) = delete;

    const std::string& address() const { return m_address; }
    int received() const { return m_received; }
    int answered() const { return m_answered; }

    void answer_all()
    {
        asio::post(m_io, [this] { m_gate.expires_at(steady::time_point::min()); });
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error)
                co_return;
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        std::string received;
        for (;;)
        {
            const auto [error, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", use_tuple);
            if (error)
                co_return;
            received.erase(0, size);
            ++m_received;
            // Ends at once if the gate is open, else when it is opened.
            co_await m_gate.async_wait(use_tuple);
            co_await asio::async_write(socket, asio::buffer(answer), use_tuple);
            ++m_answered;
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_gate;
    std::string m_address;
    std::atomic<int> m_received{0};
    std::atomic<int> m_answered{0};
    std::thread m_thread;
};

/// Sends one request over a new connection and reads its answer once `begin` has expired. `status`
/// is set at the end.
asio::awaitable<void> read_answer(
    asio::io_context& io, std::string address, asio::steady_timer& begin,
    const steady::time_point& deadline, std::optional<absl::Status>& status)
{
    endpoint_channel channel(io.get_executor());
    const http_request request{"GET", "/", {}, {}};
    auto result = co_await channel.connect(address, steady::now() + 10s);
    if (result.ok())
        result = co_await channel.send(request, steady::now() + 10s);
    co_await begin.async_wait(use_tuple);
    if (result.ok())
        result = (co_await channel.read_head(deadline)).status();
    std::string body;
    absl::StatusOr<bool> more = result.ok();
    while (more.ok() && *more)
        more = co_await channel.read_body(body, deadline);
    if (result.ok())
        result = more.status();
    status = result;
}

asio::awaitable<void> call(
    channel_pool& channels, std::string address, std::chrono::milliseconds timeout,
    std::optional<absl::Status>& status)
{
    http_request request{"GET", "/", {}, {}};
    const auto response = co_await call_endpoint(channels, address, std::move(request), timeout);
    status = response.status();
}

asio::awaitable<void>
call(http_client& client, std::chrono::milliseconds time_limit, std::optional<absl::Status>& status)
{
    http_request request{"GET", "/", {}, {}};
    const auto response = co_await client.send(std::move(request), time_limit);
    status = response.status();
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("answers that arrive while the process is held up are read, also after their deadline")
{
    // Guards against a process that takes its own pause for the silence of sound endpoints.
    constexpr int answers = 300;
    asio::io_context io;
    sound_endpoint endpoint(false);
    std::vector<std::optional<absl::Status>> results(answers);
    asio::steady_timer begin(io, steady::time_point::max());
    steady::time_point deadline;
    for (auto& result : results)
    {
        asio::co_spawn(
            io, read_answer(io, endpoint.address(), begin, deadline, result), asio::detached);
    }
    while (endpoint.received() < answers)
        io.run_for(5ms);
    deadline = steady::now() + 500ms;
    begin.expires_at(steady::time_point::min());
    io.poll();
    // A timer that expires first makes the event loop look at all timers before it has read all
    // answers.
    asio::steady_timer tick(io, steady::now() + 1ms);
    tick.async_wait([](const boost::system::error_code&) {});
    io.poll();
    std::this_thread::sleep_for(5ms);
    endpoint.answer_all();
    while (endpoint.answered() < answers)
        std::this_thread::sleep_for(5ms);
    std::this_thread::sleep_until(deadline + 20ms);
    io.restart();
    io.run();
    int lost = 0;
    for (const auto& result : results)
        lost += result && result->ok() ? 0 : 1;
    CHECK(lost == 0);
}

TEST_CASE("answers to HTTP clients that arrive while the process is held up are read")
{
    // Guards against a sound server whose answer is thrown away, so that its call fails.
    constexpr int answers = 300;
    constexpr auto time_limit = 1s;
    asio::io_context io;
    sound_endpoint endpoint(false);
    std::vector<std::optional<absl::Status>> results(answers);
    std::vector<std::unique_ptr<http_client>> clients;
    for (auto& result : results)
    {
        clients.push_back(std::make_unique<http_client>(io.get_executor(), endpoint.address()));
        asio::co_spawn(io, call(*clients.back(), time_limit, result), asio::detached);
    }
    while (endpoint.received() < answers)
        io.run_for(5ms);
    // A timer that expires first makes the event loop look at all timers before it has read all
    // answers.
    asio::steady_timer tick(io, steady::now() + 1ms);
    tick.async_wait([](const boost::system::error_code&) {});
    io.poll();
    std::this_thread::sleep_for(5ms);
    endpoint.answer_all();
    while (endpoint.answered() < answers)
        std::this_thread::sleep_for(5ms);
    std::this_thread::sleep_for(time_limit);
    io.restart();
    io.run();
    int lost = 0;
    for (const auto& result : results)
        lost += result && result->ok() ? 0 : 1;
    CHECK(lost == 0);
}

TEST_CASE("a call of a process that is held up between its steps")
{
    // Guards against a sound endpoint that counts as silent because its caller did not run.
    constexpr auto timeout = 40ms;
    sound_endpoint endpoint(true);
    for (const bool reused : {false, true})
    {
        for (int steps = 1; steps < 12; ++steps)
        {
            CAPTURE(reused);
            CAPTURE(steps);
            asio::io_context io;
            channel_pool channels(io.get_executor());
            std::optional<absl::Status> result;
            if (reused)
            {
                asio::co_spawn(io, call(channels, endpoint.address(), 10s, result), asio::detached);
                while (!result)
                    io.run_one();
                REQUIRE(result->ok());
                result.reset();
            }
            asio::co_spawn(io, call(channels, endpoint.address(), timeout, result), asio::detached);
            io.restart();
            for (int step = 0; step < steps && !result; ++step)
                io.run_one();
            std::this_thread::sleep_for(timeout + 10ms);
            while (!result)
                io.run_one();
            CHECK(result->ok());
        }
    }
}

TEST_SUITE_END();
