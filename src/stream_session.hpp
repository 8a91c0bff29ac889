#ifndef FULMARYARD_STREAM_SESSION_HPP
#define FULMARYARD_STREAM_SESSION_HPP

#include "accepted_call.hpp"
#include "open_session.hpp"
#include "router_core.hpp"

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/answer_share.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/run_history.hpp>

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

/// Relays one streaming request over a path of endpoints, and resumes it over another path if an
/// endpoint is lost. The caller receives one response without missing or repeated events. The path
/// of a service without pipelines is a single endpoint, without layers.
class stream_session : public open_session
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    stream_session(router_core& core, http_exchange& exchange, accepted_call accepted);
    ~stream_session() override;

    stream_session(const stream_session&) = delete;
    stream_session& operator=(const stream_session&) = delete;

    /// Handles the request until a response or failure has been sent or the caller has left.
    boost::asio::awaitable<void> run();

    std::uint64_t id() const { return m_id; }
    const accepted_call& accepted() const { return m_accepted; }
    const std::vector<path_hop>& path() const { return m_path; }
    /// Whether endpoints run the request as a pipeline.
    bool has_pipeline() const { return engine() != nullptr; }
    /// Token capacity that the request reserves on each endpoint of its path; 0 without a pipeline.
    double tokens() const { return m_tokens; }
    /// Estimated number of tokens in the prompt and in the events relayed so far.
    double context_tokens() const;
    time_point last_progress() const { return m_last_progress; }
    /// When events were last relayed; the epoch of the clock before the first.
    time_point last_event() const { return m_last_event_time; }
    time_point sent() const { return m_sent; }
    /// Exponential moving average of the time between events; 0 before the second event.
    std::chrono::steady_clock::duration mean_event_interval() const
    {
        return m_mean_event_interval;
    }
    /// Whether an attempt has a connection to its first endpoint, open or being opened.
    bool running() const { return m_channel != nullptr; }

    /// Wakes the session if it is waiting for capacity.
    void on_capacity();

    /// Aborts the current attempt so that the stream resumes over another path. Does nothing if the
    /// limits on attempts or the retry budget do not permit another attempt.
    void abandon_attempt(std::string_view reason);

    /// Ends the wait or the attempt if the prompt holds a part that is quarantined since, and no
    /// endpoint has begun to answer.
    void on_quarantine();

    void end() override;

    /// Switches to `path` after the first endpoint of the stream has accepted the repath order.
    void on_repath(std::vector<path_hop> path);

    int m_repath_count{0};             ///< Repath orders sent since the last progress.
    bool m_repath_pending{false};      ///< A repath order is in progress.
    time_point m_next_recovery_repath; ///< Earliest next repath order after a lost endpoint.
    time_point m_next_faster_repath;   ///< Earliest next repath order to a faster path.

private:
    enum class attempt_outcome
    {
        complete,     ///< The complete response was relayed to the caller.
        not_run,      ///< Refused before execution.
        unreachable,  ///< The connection failed; nothing was sent.
        broken,       ///< Sent, but ended before the response was complete.
        error_relayed ///< The endpoint's error response was relayed to the caller.
    };

    /// Waits until a path with enough capacity is reserved; returns whether one was found.
    boost::asio::awaitable<bool> reserve_path();
    /// The same for a service without pipelines. Waits only for endpoints that want no work for
    /// some time.
    boost::asio::awaitable<bool> reserve_endpoint();
    boost::asio::awaitable<attempt_outcome> attempt();
    boost::asio::awaitable<std::optional<attempt_outcome>> open_channel(bool& reused);
    boost::asio::awaitable<attempt_outcome> relay_events(answer_head head);
    boost::asio::awaitable<attempt_outcome> relay_failure(answer_head head);
    /// Reads a body that is passed on to the caller.
    boost::asio::awaitable<absl::Status> read_whole_body(std::string& body);
    boost::asio::awaitable<void> refuse(std::string_view reason, std::string_view denial = "");
    /// Refuses a request whose prompt holds a quarantined part; it may be tried again after `wait`.
    boost::asio::awaitable<void> refuse_quarantined(std::chrono::milliseconds wait);
    /// Finds out whether the first endpoint, `run` of which began at `started_ms`, crashed as it
    /// began to answer, and records that as evidence against the parts of the prompt.
    boost::asio::awaitable<void> check_for_crash(std::uint64_t started_ms);
    /// Records events of the current attempt. An endpoint that goes on after the first one does not
    /// crash under this prompt.
    void count_attempt_events(std::uint64_t events, bool complete);
    boost::asio::awaitable<void>
    fail_request(std::string_view reason, std::string_view denial = "");
    /// Why no further attempt may follow one that ended with `end`; empty if one may. Takes it from
    /// the retry budget then.
    std::string_view retry_denial(attempt_outcome end);
    /// Reserves capacity on `path`. The endpoints in `prefilling` have to prefill the current
    /// context.
    void set_path(std::vector<path_hop> path, std::vector<path_hop> prefilling);
    void release_path();
    /// Maximum time that the request may wait for the prefills of other requests on its path.
    std::chrono::milliseconds max_prefill_wait() const;
    /// Whether a stream on `path` may still be running when this router shuts down.
    bool may_outlast_router(const std::vector<path_hop>& path) const;
    /// Records that the endpoints of the path have finished their prefill.
    void record_prefill_done();
    /// Records that numbered events were relayed.
    void record_progress(time_point now);
    /// Updates the statistics of the time between events.
    void record_event_interval(std::chrono::steady_clock::duration interval);
    const routed_service* service() const;
    const pipeline_engine* engine() const; ///< nullptr if the service runs no pipelines.
    /// How long the request may wait for capacity from the start of an attempt on.
    std::chrono::milliseconds max_queueing_time() const;
    /// Whether the route permits that the request is sent to another endpoint.
    bool within_route_limit() const;
    /// Finds out which of the endpoints that count toward the route's limit have ended.
    boost::asio::awaitable<void> check_ended_runs();
    /// Logs why the current attempt broke off, and lets later ones begin at another endpoint.
    attempt_outcome break_off_attempt(std::string_view reason);
    void log_end(std::string_view outcome, std::string_view reason, std::string_view denial = "");

    router_core& m_core;
    http_exchange& m_exchange;
    accepted_call m_accepted;
    std::shared_ptr<const routing_table> m_table;
    std::uint64_t m_id;
    double m_tokens{0}; ///< Token capacity reserved on each endpoint of the path.
    std::vector<path_hop> m_path;
    std::vector<path_hop> m_prefilling; ///< Endpoints of the path that have not finished prefill.
    double m_prefill_tokens{0};         ///< Tokens that each of them has to prefill.
    /// Endpoints that later attempts must not use as their first endpoint.
    std::set<std::string> m_excluded_first_endpoints;
    std::set<std::string> m_refused_by; ///< First endpoints that refused this request.
    std::string m_last_first_endpoint;  ///< First endpoint of the most recent attempt.
    std::unique_ptr<endpoint_channel> m_channel;
    boost::asio::steady_timer m_queue_timer; ///< Cancelled to wake the session while it is queued.
    time_point m_last_progress;
    time_point m_sent;            ///< Start of the most recent attempt.
    time_point m_last_event_time; ///< When events were last relayed.
    std::chrono::steady_clock::duration m_time_to_first_event{}; ///< 0 before the first event.
    std::chrono::steady_clock::duration m_max_event_interval{};  ///< Maximum time between events.
    std::chrono::steady_clock::duration m_mean_event_interval{};
    std::optional<std::uint64_t> m_last_event_id; ///< Id of the last event relayed.
    std::uint64_t m_event_count{0};               ///< Events relayed to the caller.
    answer_share m_share;                         ///< For what is not passed on yet.
    run_history m_history;                        ///< First endpoints that the request was sent to.
    std::uint32_t m_attempt_count{0};  ///< All attempts, including those that reached no endpoint.
    bool m_client_disconnected{false}; ///< The caller has disconnected.
    std::uint64_t m_attempt_events{0}; ///< Events of the current attempt.
    bool m_answer_counted{false};      ///< The current attempt counted as answered.
    bool m_crashed{false};             ///< The last attempt crashed its first endpoint.
    bool m_ended{false};               ///< The process exits.
    bool m_quarantined{false};         ///< A part of the prompt was quarantined meanwhile.
    bool m_answer_began{false};        ///< The current attempt was answered with success so far.
    bool m_abandoned{false};           ///< The current attempt was aborted by this router.
    bool m_is_retry{false};            ///< The caller retries after a refusal with Retry-After.
    bool m_responded{false};           ///< A response to the caller has begun.
};

} // namespace fulmaryard

#endif
