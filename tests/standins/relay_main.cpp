// Stand-in for the network between two processes: forwards TCP connections and injects faults.
// Connections are accepted on `--relay IP:PORT` and forwarded to `--target IP:PORT`. Faults are
// set over HTTP at `--listen`: POST /faults {"kind": "silent"} stops forwarding on the connections
// that are currently open, while new ones work; {"kind": "delay", "ms": N} delays what is
// forwarded;
// {"kind": "slow", "bytes_per_s": N} limits what the target sends over all connections together;
// {"kind": "cut"} closes all connections and refuses new ones. DELETE /faults ends delay, slow and
// cut.

#include "standin_options.hpp"
#include "standin_support.hpp"

#include <fulmaryard/peer_address.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <tuple>

using namespace fulmaryard;
using namespace fulmaryard::standins;
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// One forwarded connection.
struct relayed_connection
{
    tcp::socket m_client;
    tcp::socket m_server;
    bool m_silent{false};

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }
};

class relay
{
public:
    relay(asio::io_context& io, tcp::endpoint target) : m_io(io), m_target(std::move(target)) {}

    asio::awaitable<void> accept_loop(tcp::acceptor& acceptor)
    {
        for (;;)
        {
            auto [error, client] = co_await acceptor.async_accept(use_tuple);
            if (!error && !m_cut)
                asio::co_spawn(m_io, connect(std::move(client)), asio::detached);
        }
    }

    asio::awaitable<void> control(http_exchange& exchange)
    {
        std::ignore = co_await exchange.respond(apply(exchange.request()));
    }

private:
    http_response apply(const http_request& request)
    {
        if (request.m_method == "DELETE")
        {
            m_cut = false;
            m_delay = std::chrono::milliseconds(0);
            m_bytes_per_s = 0;
            return json_response(200, json::object());
        }
        const auto description = parse_object(request.m_body);
        const std::string kind = description ? text_of(*description, "kind") : "";
        if (kind == "silent")
        {
            for (const auto& connection : m_connections)
                connection->m_silent = true;
        }
        else if (kind == "delay")
            m_delay = std::chrono::milliseconds(number_of(*description, "ms", 0));
        else if (kind == "slow")
            m_bytes_per_s = static_cast<double>(number_of(*description, "bytes_per_s", 0));
        else if (kind == "cut")
        {
            m_cut = true;
            for (const auto& connection : m_connections)
                connection->close();
        }
        else
            return error_response(400, "unknown kind");
        return json_response(200, {{"connections", m_connections.size()}});
    }

    asio::awaitable<void> connect(tcp::socket client)
    {
        auto connection = std::make_shared<relayed_connection>(
            relayed_connection{std::move(client), tcp::socket(m_io)});
        const auto [error] = co_await connection->m_server.async_connect(m_target, use_tuple);
        if (error)
            co_return;
        connection->m_client.set_option(tcp::no_delay(true));
        connection->m_server.set_option(tcp::no_delay(true));
        m_connections.insert(connection);
        asio::co_spawn(
            m_io, forward(connection, connection->m_server, connection->m_client), asio::detached);
        co_await forward(connection, connection->m_client, connection->m_server);
    }

    /// Waits until `bytes` have crossed the link that all connections share.
    asio::awaitable<void> cross_link(std::size_t bytes)
    {
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> crossing(static_cast<double>(bytes) / m_bytes_per_s);
        m_link_free = std::max(m_link_free, now) +
                      std::chrono::duration_cast<std::chrono::steady_clock::duration>(crossing);
        co_await sleep_for(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_link_free - now));
    }

    asio::awaitable<void>
    forward(std::shared_ptr<relayed_connection> connection, tcp::socket& from, tcp::socket& to)
    {
        std::array<char, 16384> bytes{};
        for (;;)
        {
            const auto [read_error, size] =
                co_await from.async_read_some(asio::buffer(bytes), use_tuple);
            if (read_error)
                break;
            if (m_delay.count() > 0)
                co_await sleep_for(m_delay);
            if (m_bytes_per_s > 0 && &from == &connection->m_server)
                co_await cross_link(size);
            if (connection->m_silent)
                continue; // Discarded, as by a device that lost the connection's state.
            const auto [write_error, written] =
                co_await asio::async_write(to, asio::buffer(bytes.data(), size), use_tuple);
            if (write_error)
                break;
        }
        // The close of a silent connection is not forwarded either.
        if (connection->m_silent)
            co_return;
        connection->close();
        m_connections.erase(connection);
    }

    asio::io_context& m_io;
    tcp::endpoint m_target;
    std::set<std::shared_ptr<relayed_connection>> m_connections;
    bool m_cut{false};
    std::chrono::milliseconds m_delay{0};
    double m_bytes_per_s{0}; ///< Capacity of the link from the target; 0: not limited.
    std::chrono::steady_clock::time_point m_link_free; ///< When what is queued has crossed.
};

} // namespace

int main(int argc, char** argv)
{
    std::string listen = "127.0.0.1:0";
    std::string relay_address;
    std::string target;
    if (!read_options(
            argc, argv, {{"listen", &listen}, {"relay", &relay_address}, {"target", &target}}))
        return 2;
    const auto accept_at = parse_address(relay_address);
    const auto forward_to = parse_address(target);
    if (!accept_at.ok() || !forward_to.ok())
        return 2;
    asio::io_context io(1);
    tcp::acceptor acceptor(io, *accept_at);
    relay forwarder(io, *forward_to);
    asio::co_spawn(io, forwarder.accept_loop(acceptor), asio::detached);
    serve(io, listen, [&](http_exchange& exchange) { return forwarder.control(exchange); });
}
