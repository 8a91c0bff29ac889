#ifndef FULMARYARD_ROUTER_GOSSIP_HPP
#define FULMARYARD_ROUTER_GOSSIP_HPP

#include "router_core.hpp"

#include <fulmaryard/version_lag.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Exchanges state with the other routers in UDP datagrams: the reservations of this router's
/// requests, the endpoints that are suspected, slow or refusing requests, and the layers that
/// endpoints reported. Each datagram holds the whole state, so the next one makes up for a lost
/// one.
class router_gossip
{
public:
    explicit router_gossip(router_core& core);

    /// Binds the peer address of the settings; returns `internal` when that fails.
    absl::Status open();

    /// Replaces the addresses of the routers that receive datagrams. This router's own
    /// address is skipped.
    void set_routers(const std::vector<std::string>& addresses);

    /// Makes the next tick send, because other routers should learn of a finding at once.
    void send_soon() { m_next_send = {}; }

    /// The same, but only once in each interval, for what may happen often.
    void send_early(std::chrono::steady_clock::time_point now);

    /// Sends when the interval has passed; to be called about every 25 ms.
    void on_tick(std::chrono::steady_clock::time_point now);

private:
    boost::asio::awaitable<void> receive();
    /// Time between two datagrams to the same router.
    std::chrono::milliseconds interval() const;
    /// Returns the state of this router as JSON.
    std::string encode() const;
    /// What this router has observed of parts of prompts, as JSON, and the reverse.
    boost::json::array encode_prompt_parts() const;
    /// Rates at which requests of each rank arrive, by service, as JSON, and the reverse.
    boost::json::object encode_arrivals() const;
    void decode_arrivals(const std::string& router, const boost::json::object& arrivals);
    void decode_prompt_parts(const boost::json::array& parts);
    /// What this router has observed of endpoints that name a request rate, as JSON, and the
    /// reverse.
    boost::json::array encode_rate_limits() const;
    void decode_rate_limits(const std::string& router, const boost::json::array& limits);
    /// Names of the routers that were heard lately, and of this one.
    std::vector<std::string> live_routers() const;
    /// Whether this router is the one of the live routers that takes care of `text`.
    bool is_first_by_hash(const std::string& text) const;
    /// Applies the state of another router; logs a malformed message.
    void decode(std::string_view text);

    /// Reads the store again if the router `router` knows newer versions for long enough.
    void on_peer_versions(const std::string& router, known_versions versions);
    /// Decides whether this router is one of the few that read the store closely.
    void update_store_reader(std::chrono::steady_clock::time_point now);

    router_core& m_core;
    version_lag m_version_lag;
    boost::asio::ip::udp::socket m_socket;
    std::vector<boost::asio::ip::udp::endpoint> m_routers;
    std::chrono::steady_clock::time_point m_next_send; ///< Time of the next datagrams.
    std::chrono::steady_clock::time_point m_last_early_send;
};

} // namespace fulmaryard

#endif
