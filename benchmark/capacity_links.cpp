#include "capacity_parts.hpp"
#include "slope_fit.hpp"

#include <fulmaryard/http_server.hpp>
#include <fulmaryard/peer_links.hpp>
#include <fulmaryard/peer_listener.hpp>

#include <boost/asio/io_context.hpp>

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace fulmaryard::benchmark
{

namespace
{

/// Server and peer links of one process, run by the caller's thread.
class link_peer : public peer_listener
{
public:
    explicit link_peer(boost::asio::io_context& io)
        : m_server(
              io, {}, [](http_exchange&) -> boost::asio::awaitable<void> { co_return; },
              [this](auto socket, auto request)
              { m_links.accept(std::move(socket), std::move(request)); }),
          m_links(
              io,
              [this] {
                  return hello{"process", "side", m_address, 1};
              },
              *this)
    {
        const auto port = m_server.listen("127.0.0.1:0");
        m_address = fmt::format("127.0.0.1:{}", port.ok() ? *port : 0);
    }

    void on_peer_up(const hello&) override { ++m_connected_peers; }
    void on_peer_down(const std::string&) override {}
    void on_peer_hello(const hello&) override {}
    void on_peer_message(const hello&, peer_message) override {}

    std::string m_address;
    int m_connected_peers{0};
    http_server m_server;
    peer_links m_links;
};

} // namespace

void measure_links()
{
    using namespace std::chrono_literals;
    slope_fit memory;
    slope_fit idle;
    for (const int count : {32, 64, 128})
    {
        // One thread runs both ends of each link, so its CPU time covers both.
        boost::asio::io_context io(1);
        link_peer dialler(io);
        std::vector<std::unique_ptr<link_peer>> peers;
        peers.reserve(static_cast<std::size_t>(count));
        for (int at = 0; at < count; ++at)
            peers.push_back(std::make_unique<link_peer>(io));
        io.run_for(50ms);
        const double before = allocated_bytes();
        for (const auto& peer : peers)
            dialler.m_links.pin(peer->m_address);
        const auto deadline = std::chrono::steady_clock::now() + 3s;
        while (dialler.m_connected_peers < count && std::chrono::steady_clock::now() < deadline)
            io.run_for(20ms);
        memory.add(count, allocated_bytes() - before);
        const double started = thread_seconds();
        io.run_for(1500ms);
        idle.add(count, (thread_seconds() - started) / 1.5);
        if (dialler.m_connected_peers != count)
            fmt::print(
                stderr, "only {} of {} links were established\n", dialler.m_connected_peers, count);
        dialler.m_links.stop();
        for (const auto& peer : peers)
            peer->m_links.stop();
        io.run_for(100ms);
    }
    memory.print("memory_per_peer_link_both_ends", "bytes");
    idle.print("cpu_per_idle_peer_link_both_ends", "us/s", 1e6);
}

} // namespace fulmaryard::benchmark
