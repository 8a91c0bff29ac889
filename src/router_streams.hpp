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
#include <string_view>
#include <tuple>
#include <utility>

namespace fulmaryard
{

class stream_session;

/// Supervises all streams of a router: detects streams without progress and the endpoints that
/// stall them, moves streams to other paths, and tracks callers that were asked to retry later.
class router_streams
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit router_streams(router_core& core) : m_core(core) {}

    std::uint64_t add(stream_session& session);
    void remove(std::uint64_t id);

    /// Records that the caller was asked to retry at `when`. Calls are identified by account and
    /// prompt prefix.
    void add_expected_retry(const accepted_call& accepted, time_point when);
    /// Whether this call is such a retry and in time; removes the record.
    bool take_expected_retry(const accepted_call& accepted);

    /// Wakes the next request in the wait queue. Called when capacity may have become free.
    void on_capacity();

    /// Checks all streams for lack of progress; to be called about every 50 ms.
    void on_tick(time_point now);

    std::size_t size() const { return m_sessions.size(); }

private:
    /// Finds the endpoints at which streams stall, and suspects them.
    void locate_stalls(time_point now);
    void query_if_due(const std::string& endpoint, time_point now);
    boost::asio::awaitable<void> query_load(std::string endpoint);
    boost::asio::awaitable<void> repath(std::uint64_t id);
    void move_from_lost(stream_session& session, time_point now);
    void move_from_slow(stream_session& session, time_point now);
    void start_repath(stream_session& session);
    /// Starts a takeover of the stream within the limit of searches.
    void take_over(stream_session& session, std::string_view reason);
    found_path find_next_path(stream_session& session, const routed_service& service);

    router_core& m_core;
    std::map<std::uint64_t, stream_session*> m_sessions;
    std::map<std::string, time_point> m_last_query; ///< Last load query by endpoint id.
    /// Endpoints at which streams stall, with the time until which streams move away.
    std::map<std::string, time_point> m_stalled;
    /// Callers that were asked to retry, by account and prompt prefix, with the time of expiry.
    std::map<std::tuple<std::string, std::string, std::string>, time_point> m_expected_retries;
    std::uint64_t m_next_id{0};
    std::uint64_t m_quarantine_generation{0}; ///< At the last tick.
    time_point m_last_tick;
    std::size_t m_takeover_searches{0}; ///< Left in this tick.
};

} // namespace fulmaryard

#endif
