#ifndef FULMARYARD_PLAIN_SESSION_HPP
#define FULMARYARD_PLAIN_SESSION_HPP

#include "accepted_call.hpp"
#include "crash_suspects.hpp"
#include "limit_draws.hpp"
#include "open_session.hpp"
#include "plain_attempt.hpp"
#include "router_core.hpp"

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/run_history.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Processes one call to a plain service, whose endpoints return a complete response instead of an
/// event stream: sends the call to an endpoint, retries it and responds to the client. A call that
/// is not idempotent is retried only if no endpoint can have run it. An idempotent call that is not
/// answered for long is sent to a second endpoint as well, and the first answer counts.
class plain_session : public open_session
{
public:
    plain_session(router_core& core, http_exchange& exchange, accepted_call accepted);
    ~plain_session() override;

    plain_session(const plain_session&) = delete;
    plain_session& operator=(const plain_session&) = delete;

    boost::asio::awaitable<void> run();

    void end() override;

private:
    using attempt_outcome = plain_attempt::outcome;

    /// Starts an attempt at `endpoint`, which is listed.
    void start_attempt(const std::string& endpoint);

    /// Waits until an endpoint has answered or all attempts have ended, and starts a second attempt
    /// when the first has not been answered for long.
    boost::asio::awaitable<attempt_outcome> finish_attempts();

    /// Starts a second attempt if the limits permit it and another endpoint is usable.
    void start_second_attempt();

    /// When a second attempt should start because the answer is later than most; nullopt if there
    /// should be none.
    std::optional<accepted_call::time_point> hedge_time() const;

    /// Starts such an attempt, if another endpoint has no call of this router.
    void start_hedge();

    /// Route of the call, as the key of what is known of its answers.
    std::string route_key() const;

    /// Removes an attempt that has ended; returns how.
    attempt_outcome remove_attempt(std::size_t index);

    /// Sends the call to the endpoint of the attempt. If the pooled connection was stale, sends an
    /// idempotent call a second time on a new connection.
    boost::asio::awaitable<attempt_outcome> run_attempt(plain_attempt& attempt);

    /// Sends the call once and reads the response, on the pooled connection of the attempt if
    /// `reused`, otherwise on a new one. Sets `connection_stale` if a pooled connection turned out
    /// to be closed.
    boost::asio::awaitable<attempt_outcome>
    send_and_receive(plain_attempt& attempt, bool reused, bool& connection_stale);

    /// Reads a body that is passed on to the caller.
    boost::asio::awaitable<absl::Status> read_whole_body(plain_attempt& attempt, std::string& body);

    /// Finds out whether the endpoint of an attempt crashed under the call.
    boost::asio::awaitable<void> check_for_crash(plain_attempt& attempt);

    /// Logs why an attempt ended without an answer, which leaves open whether the call ran.
    attempt_outcome break_off_attempt(const plain_attempt& attempt, std::string_view reason) const;
    attempt_outcome break_off_attempt(plain_attempt& attempt, const absl::Status& status) const;

    /// Whether an attempt should not go on.
    bool stopped(const plain_attempt& attempt) const;
    void close_attempts();

    /// Whether another attempt is allowed after one that ended with `end`. Takes a retry from the
    /// budget of the service unless the call has not been sent yet.
    bool may_retry(attempt_outcome end);

    /// Waits until an endpoint wants work again, if all of them said that they want none and that
    /// is soon enough. Returns whether it has waited.
    boost::asio::awaitable<bool> wait_until_work_is_wanted();

    /// Refuses a call that is quarantined; it may be tried again after `wait`.
    boost::asio::awaitable<void> refuse_quarantined(std::chrono::milliseconds wait);

    /// Records the outcome in metrics and log, and responds to the client.
    boost::asio::awaitable<void> finish(attempt_outcome end);
    void log_end(std::string_view outcome) const;

    bool idempotent() const { return m_accepted.m_route.m_kind == call_kind::idempotent; }

    router_core& m_core;
    http_exchange& m_exchange;
    accepted_call m_accepted;
    crash_suspects m_suspects{m_accepted};
    std::string m_endpoint;                  ///< Id of the endpoint of the last attempt.
    std::set<std::string> m_tried_endpoints; ///< Ids of the endpoints of earlier attempts.
    std::vector<std::unique_ptr<plain_attempt>> m_attempts; ///< Those that have not been removed.
    std::optional<http_response> m_last_response;           ///< The last response of an endpoint.
    answer_share m_share;                                   ///< For its body.
    accepted_call::time_point m_latest_answer;              ///< In time to reach the caller.
    accepted_call::time_point m_second_attempt_at;          ///< When a second attempt may start.
    std::optional<accepted_call::time_point> m_hedge_at;    ///< The same, for a late answer.
    bool m_hedged{false};                                   ///< There was such an attempt.
    std::uint32_t m_send_count{0};    ///< How often the call was sent to an endpoint.
    std::uint32_t m_attempt_count{0}; ///< Attempts, including those that failed to connect.
    run_history m_history;            ///< Endpoints that the call was sent to.
    limit_draws m_draws;              ///< Decisions of rate limits on this call.
    bool m_crashed{false};            ///< An endpoint crashed under the call.
    bool m_client_disconnected{false};
    bool m_ended{false}; ///< The process exits.
    /// Runs while the call waits for an endpoint that wants work.
    boost::asio::steady_timer m_wait_timer;
    /// Expires when a second attempt may start; cancelled when an attempt ends.
    boost::asio::steady_timer m_attempt_timer;
};

} // namespace fulmaryard

#endif
