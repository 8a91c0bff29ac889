#ifndef FULMARYARD_STREAM_SESSION_HPP
#define FULMARYARD_STREAM_SESSION_HPP

#include "accepted_call.hpp"
#include "router_core.hpp"

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/http_exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmaryard
{

/// Carries one stream from its caller over a path of endpoints, and over another path when an
/// endpoint is lost. The caller sees one response without a missing or repeated event.
class stream_session
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    stream_session(router_core& core, http_exchange& exchange, accepted_call accepted);
    ~stream_session();

    stream_session(const stream_session&) = delete;
    stream_session& operator=(const stream_session&) = delete;

    boost::asio::awaitable<void> run();

    std::uint64_t id() const { return m_id; }
    const accepted_call& accepted() const { return m_accepted; }
    const std::vector<path_hop>& path() const { return m_path; }
    double tokens() const { return m_tokens; }
    /// Tokens of the prompt and of what was written so far.
    double context_tokens() const;
    time_point last_progress() const { return m_last_progress; }
    time_point sent() const { return m_sent; }
    /// Mean of the last pauses between events; 0 before the second event.
    std::chrono::steady_clock::duration usual_pause() const { return m_usual_pause; }
    bool running() const { return m_channel != nullptr; }

    /// Wakes the session if it waits for room.
    void on_room();

    /// Gives up the running attempt, so that the stream goes on over another path.
    void abandon_attempt(std::string_view reason);

    /// The first endpoint has accepted to go on over `path`.
    void on_repath(std::vector<path_hop> path);

    int m_repaths{0};              ///< Orders to take another path since the last progress.
    bool m_repath_pending{false};  ///< Such an order is under way.
    time_point m_next_repath;      ///< Earliest next order when an endpoint is lost.
    time_point m_no_repath_before; ///< Likewise for a faster path.

private:
    enum class attempt_end
    {
        complete,    ///< The caller has the whole answer.
        not_run,     ///< Refused; nothing ran.
        unreachable, ///< Nothing was sent.
        broken,      ///< Ran, and ended before its end.
        passed_on    ///< The endpoint's own failure was passed to the caller.
    };

    boost::asio::awaitable<bool> find_room();
    boost::asio::awaitable<attempt_end> attempt();
    boost::asio::awaitable<std::optional<attempt_end>> open_channel(bool& reused);
    boost::asio::awaitable<attempt_end> relay_events(answer_head head);
    boost::asio::awaitable<attempt_end> relay_failure(answer_head head);
    boost::asio::awaitable<void> refuse(std::string_view reason);
    boost::asio::awaitable<void> give_up(std::string_view reason);
    bool may_try_again(attempt_end end);
    /// Takes `path`, of which the endpoints of `reading` have to read what there is so far.
    void set_path(std::vector<path_hop> path, std::vector<path_hop> reading);
    void release_path();
    std::chrono::milliseconds longest_read_wait() const;
    /// Whether the stream may not have ended when its router does.
    bool outlasts_router(const std::vector<path_hop>& path) const;
    void note_read();
    void note_pause(std::chrono::steady_clock::duration pause);
    const routed_service* service() const;
    /// Notes that an attempt ended early, if `first` ended with it.
    void note_cut(const std::string& first);
    void log_broken(std::string_view reason);
    void log_end(std::string_view outcome, std::string_view reason);

    router_core& m_core;
    http_exchange& m_exchange;
    accepted_call m_accepted;
    std::shared_ptr<const routing_table> m_table;
    std::uint64_t m_id;
    double m_tokens{0};
    std::vector<path_hop> m_path;
    std::vector<path_hop> m_reading; ///< Endpoints of the path that still have to read.
    double m_unread{0};              ///< Tokens that each of them has to read.
    std::set<std::string>
        m_avoided;            ///< First endpoints that this stream will not be sent to again.
    std::string m_last_first; ///< First endpoint of the last attempt.
    std::unique_ptr<endpoint_channel> m_channel;
    boost::asio::steady_timer m_turn;
    time_point m_last_progress;
    time_point m_sent;
    time_point m_last_event_passed;                            ///< To the caller.
    std::chrono::steady_clock::duration m_first_event_after{}; ///< Its arrival; 0 without one.
    std::chrono::steady_clock::duration m_longest_pause{};     ///< Between two events.
    std::chrono::steady_clock::duration m_usual_pause{};
    std::optional<std::uint64_t> m_last_event;
    std::uint64_t m_events{0};
    std::uint32_t m_sends{0};     ///< Attempts that an endpoint received.
    std::uint32_t m_cut_sends{0}; ///< Of these, attempts that a lost endpoint cut off.
    std::uint32_t m_tries{0};     ///< All attempts, also those that reached no endpoint.
    bool m_gone{false};           ///< The caller has left.
    bool m_abandoned{false};
    bool m_returning{false};
    bool m_responded{false};
    bool m_may_have_run{false}; ///< An attempt was sent and not proved not run.
};

} // namespace fulmaryard

#endif
