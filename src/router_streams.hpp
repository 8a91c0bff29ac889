#ifndef FULMARYARD_ROUTER_STREAMS_HPP
#define FULMARYARD_ROUTER_STREAMS_HPP

#include "accepted_call.hpp"
#include "router_core.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fulmaryard
{

class stream_session;

/// All streams of a router: finds those that make no progress and the endpoint that holds them up,
/// moves them to other paths, and remembers who was asked to return.
class router_streams
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit router_streams(router_core& core) : m_core(core) {}

    std::uint64_t add(stream_session& session);
    void remove(std::uint64_t id);

    /// Remembers that a call of this subject was asked to return at `when`.
    void add_promise(const accepted_call& accepted, time_point when);
    /// Whether this call returns after such a refusal; forgets it.
    bool take_promise(const accepted_call& accepted);

    /// Wakes the request whose turn it is.
    void on_room();

    /// Looks for streams without progress; call it every 50 ms or so.
    void on_tick(time_point now);

    std::size_t size() const { return m_sessions.size(); }

private:
    void check(const std::string& endpoint, time_point now);
    boost::asio::awaitable<void> ask(std::string endpoint);
    boost::asio::awaitable<void> repath(std::uint64_t id);
    void move_from_lost(stream_session& session, time_point now);
    void move_from_slow(stream_session& session, time_point now);
    void start_repath(stream_session& session);
    found_path path_for(stream_session& session, const routed_service& service);

    router_core& m_core;
    std::map<std::uint64_t, stream_session*> m_sessions;
    std::map<std::string, time_point> m_asked; ///< When an endpoint was last asked.
    std::map<std::pair<std::string, std::string>, time_point> m_promises;
    std::uint64_t m_next_id{0};
};

} // namespace fulmaryard

#endif
