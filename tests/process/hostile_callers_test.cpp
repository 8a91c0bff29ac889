#include "process/raw_connection.hpp"
#include "process/router_system.hpp"

#include <functional>
#include <string_view>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("hostile_callers");

namespace
{

/// Memory of the smallest instances on the users' platform.
constexpr std::size_t instance_memory_kb = 160 * 1024;

/// Connections that the router accepts from callers, by its settings in these tests.
constexpr std::size_t max_connections = 100;

/// Further descriptors of a router: listeners, peers, the store and connections to endpoints. One
/// connection to an endpoint is open for each request in progress at most.
constexpr std::size_t max_descriptors = 2 * max_connections + 50;

constexpr std::size_t crowd_size = 80;

/// Time in which the router reads what a crowd has sent.
constexpr auto settle_time = 2s;

/// Largest body that the operators' configuration of the users' platform permits.
constexpr std::size_t largest_body_bytes = 4 * 1024 * 1024;

std::string make_head(std::size_t member, const std::string& framing)
{
    return fmt::format(
        "POST /orders/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: crowd-{}\r\n"
        "Fulmaryard-Deadline-Ms: 20000\r\nAuthorization: Bearer secret\r\n{}\r\n\r\n",
        member, framing);
}

std::string make_chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

scripted_endpoint::reply answer_whole(const std::string& call, int)
{
    return {
        fmt::format(
            "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
            "Content-Length: 4\r\n\r\ndone",
            call),
        false};
}

/// Callers that each send something and leave their connection open. A connection that the router
/// closes counts as done.
class crowd
{
public:
    using script = std::function<void(const raw_connection&, std::size_t member)>;

    crowd(const std::string& address, std::size_t size, const script& send)
    {
        std::vector<std::thread> threads;
        threads.reserve(size);
        for (std::size_t member = 0; member < size; ++member)
            m_connections.push_back(std::make_unique<raw_connection>(address));
        for (std::size_t member = 0; member < size; ++member)
            threads.emplace_back([&, member] { send(*m_connections[member], member); });
        for (auto& thread : threads)
            thread.join();
    }

private:
    std::vector<std::unique_ptr<raw_connection>> m_connections;
};

/// Sends `block` until `bytes` bytes are sent or the connection is closed.
void send_repeatedly(const raw_connection& connection, std::string_view block, std::size_t bytes)
{
    for (std::size_t sent = 0; sent < bytes && connection.send(block); sent += block.size())
        ;
}

} // namespace

TEST_CASE("a crowd of large and unfinished requests")
{
    // Guards against a process that callers end by letting it run out of memory or descriptors.
    scripted_endpoint endpoint(answer_whole);
    router_system system(0, 0);
    system.add_endpoint("endpoint", endpoint, std::nullopt);
    system.start_router("router-1", fmt::format("max_connections: {}\n", max_connections));
    auto& router = system.process("router-1");
    std::size_t size = crowd_size;
    crowd::script send;
    const std::string sized = fmt::format("Content-Length: {}", largest_body_bytes);
    const std::string chunked = "Transfer-Encoding: chunked";
    constexpr std::size_t missing = 16; // Bytes that most callers never send.

    SUBCASE("with bodies of the largest legal size, complete")
    {
        const std::string body(largest_body_bytes, 'x');
        send = [=](const raw_connection& connection, std::size_t member)
        { connection.send(make_head(member, sized) + body); };
    }
    SUBCASE("with bodies of the largest legal size that stop short of their end")
    {
        const std::string body(largest_body_bytes - missing, 'x');
        send = [=](const raw_connection& connection, std::size_t member)
        { connection.send(make_head(member, sized) + body); };
    }
    SUBCASE("with the same, piece by piece")
    {
        const std::string piece(32 * 1024, 'x');
        send = [=](const raw_connection& connection, std::size_t member)
        {
            connection.send(make_head(member, sized));
            for (std::size_t sent = 0; sent + piece.size() < largest_body_bytes;
                 sent += piece.size())
            {
                if (!connection.send(piece))
                    return;
                std::this_thread::sleep_for(5ms);
            }
        };
    }
    SUBCASE("with large chunks that stop short of their end")
    {
        const auto chunk = make_chunk(256 * 1024);
        send = [=](const raw_connection& connection, std::size_t member)
        {
            connection.send(make_head(member, chunked));
            send_repeatedly(connection, chunk, largest_body_bytes - chunk.size());
        };
    }
    SUBCASE("with very small chunks that stop short of their end")
    {
        std::string chunks;
        for (int i = 0; i < 1000; ++i)
            chunks += make_chunk(8);
        send = [=](const raw_connection& connection, std::size_t member)
        {
            connection.send(make_head(member, chunked));
            send_repeatedly(connection, chunks, 6 * 1024 * 1024);
        };
    }
    SUBCASE("with bodies far over the limit, announced")
    {
        const std::string piece(64 * 1024, 'x');
        send = [=](const raw_connection& connection, std::size_t member)
        {
            connection.send(make_head(member, "Content-Length: 1000000000"));
            send_repeatedly(connection, piece, 16 * largest_body_bytes);
        };
    }
    SUBCASE("with bodies far over the limit, just sent")
    {
        const auto chunk = make_chunk(64 * 1024);
        send = [=](const raw_connection& connection, std::size_t member)
        {
            connection.send(make_head(member, chunked));
            send_repeatedly(connection, chunk, 16 * largest_body_bytes);
        };
    }
    SUBCASE("with more connections than the router accepts, none of which completes a head")
    {
        size = 2 * max_connections;
        send = [](const raw_connection& connection, std::size_t)
        { connection.send("POST /orders/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"); };
    }

    const crowd callers(system.address("router-1"), size, send);
    // What was sent may still lie in the buffers of the sockets.
    std::this_thread::sleep_for(settle_time);
    REQUIRE(router.running());
    CHECK(router.memory_kilobytes("VmHWM") < instance_memory_kb);
    CHECK(router.open_descriptors() < max_descriptors);

    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request("POST", "/orders/1", "ordinary"));
    REQUIRE(response.ok());
    CHECK(response->m_status == 200);
    CHECK(router.running());
    CHECK(router.memory_kilobytes("VmHWM") < instance_memory_kb);
}

TEST_CASE("a crowd of unfinished requests at a router that knows its memory")
{
    // Guards against a share of the memory for requests that leaves too little for the rest.
    scripted_endpoint endpoint(answer_whole);
    router_system system(0, 0);
    system.add_endpoint("endpoint", endpoint, std::nullopt);
    system.start_router("router-1", "instance_memory_mb: 160\n");
    auto& router = system.process("router-1");
    const std::string body(largest_body_bytes - 16, 'x');
    const crowd callers(
        system.address("router-1"), crowd_size,
        [&](const raw_connection& connection, std::size_t member)
        {
            connection.send(
                make_head(member, fmt::format("Content-Length: {}", largest_body_bytes)) + body);
        });
    std::this_thread::sleep_for(settle_time);
    REQUIRE(router.running());
    CHECK(router.memory_kilobytes("VmHWM") < instance_memory_kb);
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request("POST", "/orders/1", "ordinary"));
    REQUIRE(response.ok());
    CHECK(response->m_status == 200);
}

TEST_CASE("a single request with a body of the largest legal size")
{
    // Guards against limits that turn away what callers may send.
    scripted_endpoint endpoint(answer_whole);
    router_system system(0, 0);
    system.add_endpoint("endpoint", endpoint, std::nullopt);
    system.start_router("router-1");
    auto request = router_system::make_request("POST", "/orders/1", "large");
    for (std::size_t i = 0; i < largest_body_bytes; ++i)
        request.m_body += static_cast<char>('a' + i % 23);
    const auto response = test_client(system.address("router-1")).send(request);
    REQUIRE(response.ok());
    CHECK(response->m_status == 200);
    const bool unchanged = endpoint.last_body() == request.m_body;
    CHECK(unchanged);
}

TEST_SUITE_END();
