#ifndef FULMARYARD_ROUTER_GOSSIP_HPP
#define FULMARYARD_ROUTER_GOSSIP_HPP

#include "router_core.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Tells other routers by datagrams which room this one's requests hold and which endpoints it
/// suspects, and receives the same from them. A lost datagram is made good by the next.
class router_gossip
{
public:
    explicit router_gossip(router_core& core);

    /// Binds the address of the settings; `internal` when it cannot.
    absl::Status open();

    /// Replaces the addresses that are told.
    void set_routers(const std::vector<std::string>& addresses);

    /// Lets the next tick send: something was found that others should know at once.
    void hurry() { m_next = {}; }

    /// Sends when it is time to; call it every 25 ms or so.
    void on_tick(std::chrono::steady_clock::time_point now);

private:
    boost::asio::awaitable<void> receive();
    std::string encode() const;
    void decode(std::string_view text);

    router_core& m_core;
    boost::asio::ip::udp::socket m_socket;
    std::vector<boost::asio::ip::udp::endpoint> m_routers;
    std::chrono::steady_clock::time_point m_next;
};

} // namespace fulmaryard

#endif
