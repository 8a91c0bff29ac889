#ifndef FULMARYARD_STREAM_SESSION_HPP
#define FULMARYARD_STREAM_SESSION_HPP

#include "accepted_call.hpp"
#include "crash_suspects.hpp"
#include "limit_draws.hpp"
#include "open_session.hpp"
#include "router_core.hpp"
#include "stream_attempt.hpp"
#include "stream_move.hpp"

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
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Relays one streaming request over a path of endpoints, and resumes it over another path if an
/// endpoint is lost. The caller receives one response without missing or repeated events. The path
/// of a service without pipelines is a single endpoint, without layers.
///
/// An attempt without progress is not given up for another one: both run, and the first that has
/// the next event leads from then on.
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
    /// Path of the leading attempt; empty if none runs.
    const std::vector<path_hop>& path() const;
    /// Number of the leading attempt; 0 if none runs.
    std::uint32_t attempt_number() const;
    /// Whether endpoints run the request as a pipeline.
    bool has_pipeline() const { return engine() != nullptr; }
    /// Token capacity that the request reserves on each endpoint of its path; 0 without a pipeline.
    double tokens() const { return m_tokens; }
    /// Estimated number of tokens in the prompt and in the events relayed so far.
    double context_tokens() const;
    /// When the last events were relayed or an attempt began; now while the caller has not taken
    /// the events that were read.
    time_point last_progress(time_point now) const { return m_is_sending ? now : m_last_progress; }
    /// When events were last relayed; the epoch of the clock before the first.
    time_point last_event() const { return m_last_event_time; }
    /// Exponential moving average of the time between events; 0 before the second event.
    std::chrono::steady_clock::duration mean_event_interval() const
    {
        return m_mean_event_interval;
    }
    /// Whether the leading attempt has a connection to its first endpoint, open or being opened,
    /// and has not read its answer to the end. Only then may another attempt start or its path
    /// change.
    bool running() const;
    /// Whether a further attempt runs beside one that makes no progress.
    bool taking_over() const { return m_attempts.size() > 1; }

    /// Wakes the session if it is waiting for capacity.
    void on_capacity();

    /// Whether a further attempt may start beside the one that makes no progress.
    bool may_start_takeover(time_point now) const;

    /// Starts a further attempt beside the one that makes no progress, if another path is free and
    /// the retry budget permits it.
    void start_takeover(std::string_view reason);

    /// Starts a further attempt if the first event is later than most, endpoints have room to spare
    /// and the limits of such attempts permit it. Does so once.
    void start_hedge_if_late(time_point now);

    /// Ends the wait or the attempts if the prompt holds a part that is quarantined since, and no
    /// endpoint has begun to answer.
    void on_quarantine();

    void end() override;

    /// Switches an attempt to `path` after its first endpoint has accepted the repath order.
    void on_repath(std::uint32_t attempt_number, std::vector<path_hop> path, stream_move move);

    int m_repath_count{0};             ///< Repath orders sent since the last progress.
    bool m_repath_pending{false};      ///< A repath order is in progress.
    time_point m_next_recovery_repath; ///< Earliest next repath order after a lost endpoint.
    time_point m_next_faster_repath;   ///< Earliest next repath order to a faster path.

private:
    using attempt_outcome = stream_attempt::outcome;

    /// Waits until a path with enough capacity is free; empty if none is in time.
    boost::asio::awaitable<std::vector<path_hop>> wait_for_path();
    /// The same for a service without pipelines. Waits only for endpoints that want no work for
    /// some time.
    boost::asio::awaitable<std::vector<path_hop>> wait_for_endpoint();
    /// Starts an attempt that occupies `path` from now on.
    void start_attempt(std::vector<path_hop> path);
    /// Waits until all attempts have ended. Returns how the response ended, or why there is none.
    boost::asio::awaitable<attempt_outcome> finish_attempts();
    /// Removes an attempt that has ended.
    void remove_attempt(std::size_t index);
    boost::asio::awaitable<attempt_outcome> run_attempt(stream_attempt& attempt);
    boost::asio::awaitable<std::optional<attempt_outcome>>
    open_channel(stream_attempt& attempt, bool& reused);
    boost::asio::awaitable<attempt_outcome> relay_events(stream_attempt& attempt, answer_head head);
    /// Sends events to the caller, with the head of the response before the first.
    boost::asio::awaitable<void> send_events(answer_head& head, const std::string& events);
    boost::asio::awaitable<attempt_outcome>
    relay_failure(stream_attempt& attempt, answer_head head);
    /// Reads a body that is passed on to the caller.
    boost::asio::awaitable<absl::Status>
    read_whole_body(stream_attempt& attempt, std::string& body);
    /// Lets `attempt` lead and ends the others: it has what comes next in the response.
    void lead(stream_attempt& attempt);
    void close_attempts();
    /// Whether `attempt` should not go on.
    bool stopped(const stream_attempt& attempt) const;
    /// Whether another attempt than `attempt` runs.
    bool others_run(const stream_attempt& attempt) const;

    boost::asio::awaitable<void> refuse(std::string_view reason, std::string_view denial = "");
    /// Refuses a request whose prompt holds a quarantined part; it may be tried again after `wait`.
    boost::asio::awaitable<void> refuse_quarantined(std::chrono::milliseconds wait);
    /// Finds out whether the first endpoint of an attempt crashed, and records that as evidence
    /// against the request, and, if it had begun to answer, against the parts of the prompt.
    boost::asio::awaitable<void> check_for_crash(stream_attempt& attempt);
    /// Records events of an attempt. An endpoint that goes on after the first one does not crash
    /// under this prompt.
    void count_attempt_events(stream_attempt& attempt, std::uint64_t events, bool complete);
    boost::asio::awaitable<void>
    fail_request(std::string_view reason, std::string_view denial = "");
    /// Why no further attempt may follow one that ended with `end`; empty if one may. Takes it from
    /// the retry budget then.
    std::string_view retry_denial(attempt_outcome end);
    /// Whether the request or a part of its prompt is quarantined.
    bool quarantined(time_point now);
    /// Reserves capacity on `path` for an attempt. The endpoints in `prefilling` have to prefill
    /// the current context.
    void
    set_path(stream_attempt& attempt, std::vector<path_hop> path, std::vector<path_hop> prefilling);
    void release_path(stream_attempt& attempt);
    /// Tokens per second that more urgent requests bring to this router.
    double urgent_tokens_per_second() const;
    /// Share of the memory of endpoints that this request leaves to more urgent ones. A stream that
    /// its caller is reading leaves none.
    double kept_share() const;
    /// A free path that does not begin at an endpoint in `avoided`; empty if there is none now.
    std::vector<path_hop> find_free_path(const std::set<std::string>& avoided);
    /// Maximum time that the request may wait for the prefills of other requests on its path.
    std::chrono::milliseconds max_prefill_wait() const;
    /// Whether a new stream on `path` may still be running when this router shuts down.
    bool may_outlast_router(const std::vector<path_hop>& path);
    /// What is announced of the answer, at the speed of `path`.
    stream_durations::plan plan_answer(const std::vector<path_hop>& path) const;
    /// Duration that a stream on `path` is expected not to exceed; nullopt if nothing is known.
    std::optional<duration_estimate> expected_duration(const std::vector<path_hop>& path) const;
    /// Keys of what is known of the streams of the request's route and service that announce their
    /// length in the same way.
    std::string route_key() const;
    std::string service_key() const;
    /// Records that the stream was answered in full.
    void record_answered();
    /// Records that the endpoints of the path have finished their prefill.
    void record_prefill_done(stream_attempt& attempt);
    /// Records that numbered events of the leading attempt were relayed.
    void record_progress(time_point now);
    /// Updates the statistics of the time between events.
    void record_event_interval(std::chrono::steady_clock::duration interval);
    /// Records where the time of a move went, at the first event after it.
    void record_move(time_point now);
    const routed_service* service() const;
    const pipeline_engine* engine() const; ///< nullptr if the service runs no pipelines.
    /// How long the request may wait for capacity from the start of an attempt on.
    std::chrono::milliseconds max_queueing_time() const;
    /// Whether the route permits that the request is sent to another endpoint.
    bool within_route_limit() const;
    /// Finds out which of the endpoints that count toward the route's limit have ended.
    boost::asio::awaitable<void> check_ended_runs();
    /// Logs why an attempt broke off, and lets later ones begin at another endpoint.
    attempt_outcome break_off_attempt(const stream_attempt& attempt, std::string_view reason);
    void log_end(std::string_view outcome, std::string_view reason, std::string_view denial = "");

    router_core& m_core;
    http_exchange& m_exchange;
    accepted_call m_accepted;
    crash_suspects m_suspects{m_accepted};
    std::shared_ptr<const routing_table> m_table;
    std::uint64_t m_id;
    double m_tokens{0};            ///< Token capacity reserved on each endpoint of a path.
    stream_durations::plan m_plan; ///< On the path of the first attempt.
    bool m_outlasts_router{false}; ///< Refused because it may not end before this process.
    std::vector<std::unique_ptr<stream_attempt>> m_attempts; ///< Those that have not been removed.
    stream_attempt* m_leader{nullptr}; ///< The attempt whose events were relayed last.
    /// Endpoints that later attempts must not use as their first endpoint.
    std::set<std::string> m_excluded_first_endpoints;
    std::set<std::string> m_refused_by;      ///< First endpoints that refused this request.
    std::string m_last_first_endpoint;       ///< First endpoint of the attempt that led last.
    boost::asio::steady_timer m_queue_timer; ///< Cancelled to wake the session while it is queued.
    boost::asio::steady_timer m_attempt_timer; ///< Never expires; cancelled when an attempt ends.
    time_point m_last_progress;
    time_point m_next_takeover;   ///< Earliest next search of a path for a takeover.
    time_point m_last_event_time; ///< When events were last relayed.
    std::chrono::steady_clock::duration m_time_to_first_event{}; ///< 0 before the first event.
    std::chrono::steady_clock::duration m_max_event_interval{};  ///< Maximum time between events.
    std::chrono::steady_clock::duration m_mean_event_interval{};
    std::optional<stream_move> m_move;            ///< Since which there was no event.
    std::optional<std::uint64_t> m_last_event_id; ///< Id of the last event relayed.
    std::uint64_t m_event_count{0};               ///< Events relayed to the caller.
    run_history m_history;                        ///< First endpoints that the request was sent to.
    limit_draws m_draws;                          ///< Decisions of rate limits on this request.
    /// An endpoint's error response, sent if no other attempt is answered.
    std::optional<http_response> m_held_failure;
    answer_share m_held_share;         ///< For its body.
    std::uint32_t m_attempt_count{0};  ///< All attempts, including those that reached no endpoint.
    bool m_client_disconnected{false}; ///< The caller has disconnected.
    /// What the first endpoint of the last attempt crashed under; empty if it did not.
    prompt_quarantine::part_list m_crash_causes;
    bool m_ended{false};       ///< The process exits.
    bool m_quarantined{false}; ///< A part of the prompt was quarantined meanwhile.
    bool m_is_retry{false};    ///< The caller retries after a refusal with Retry-After.
    bool m_hedged{false};      ///< A further attempt was started or denied for lateness.
    bool m_responded{false};   ///< A response to the caller has begun.
    bool m_is_sending{false};  ///< Events are being sent to the caller.
};

} // namespace fulmaryard

#endif
