#ifndef FULMARYARD_ROUTER_CORE_HPP
#define FULMARYARD_ROUTER_CORE_HPP

#include <fulmaryard/answer_memory.hpp>
#include <fulmaryard/call_target.hpp>
#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/crossing_budget.hpp>
#include <fulmaryard/endpoint_health.hpp>
#include <fulmaryard/endpoint_membership.hpp>
#include <fulmaryard/endpoint_notices.hpp>
#include <fulmaryard/endpoint_protocol.hpp>
#include <fulmaryard/endpoint_rate_limits.hpp>
#include <fulmaryard/endpoint_refusals.hpp>
#include <fulmaryard/endpoint_reservations.hpp>
#include <fulmaryard/endpoint_run.hpp>
#include <fulmaryard/found_path.hpp>
#include <fulmaryard/hedge_policy.hpp>
#include <fulmaryard/known_versions.hpp>
#include <fulmaryard/lagging_state.hpp>
#include <fulmaryard/metrics.hpp>
#include <fulmaryard/path_candidate.hpp>
#include <fulmaryard/path_query.hpp>
#include <fulmaryard/prompt_quarantine.hpp>
#include <fulmaryard/rank_demand.hpp>
#include <fulmaryard/retry_budget.hpp>
#include <fulmaryard/router_presence.hpp>
#include <fulmaryard/router_settings.hpp>
#include <fulmaryard/routing_table.hpp>
#include <fulmaryard/stream_durations.hpp>
#include <fulmaryard/wait_queue.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

class open_session;
class router_streams;
struct limit_draws;

/// State shared by the components of a router: membership, health and load of endpoints, budgets
/// and connections. Must be used on the router's thread only.
class router_core
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    router_core(
        boost::asio::io_context& io, const router_settings& settings,
        const endpoint_protocol& protocol);

    /// Finds a path for a request of `tokens` tokens in total, `prefill_tokens` of which are
    /// prefilled first; no endpoint of it delays the prefill by more than `max_prefill_wait`.
    /// Leaves `kept_share` of the memory of each endpoint free. The path begins where the rate
    /// limits of endpoints permit it.
    ///
    /// Chooses the failure domain with the lowest path cost. If no domain has a path, the path may
    /// cross domains while the crossing budget permits. Empty when no path exists.
    std::vector<path_hop> find_path(
        const routed_service& service, double tokens, double prefill_tokens,
        std::chrono::milliseconds max_prefill_wait, const std::set<std::string>& avoided,
        limit_draws& draws, double kept_share = 0);

    /// Share of the memory of endpoints that new requests of `priority` leave to more urgent ones,
    /// by what is known of their arrivals.
    double kept_share(const routed_service& service, std::uint32_t priority);

    /// Finds a path for a stream that leaves the path `current`, whose first hop stays. Further
    /// hops that stay as they are need no prefill. Empty when no path exists.
    found_path find_next_path(
        const routed_service& service, double tokens, double prefill_tokens,
        const std::vector<path_hop>& current);

    /// Charges the crossing budget for what a request of `tokens` tokens over `path` sends between
    /// failure domains.
    void charge_crossings(
        const routed_service& service, const std::vector<path_hop>& path, double tokens);

    /// Decode time per token over the hops of `path` from index `begin` on, in milliseconds.
    double path_decode_ms(
        const routed_service& service, const std::vector<path_hop>& path, std::size_t begin) const;

    /// Returns the id of the endpoint of a service without pipelines that has the fewest calls and
    /// streams in flight, is not in `avoided` and has no rate limit that denies the request; empty
    /// when there is none.
    std::string choose_endpoint(
        const std::string& service, const std::set<std::string>& avoided, limit_draws& draws);

    bool has_rate_limit(const std::string& id) const;

    /// Whether a request may be sent to the endpoint, as far as its rate limit decides.
    bool within_rate_limit(const std::string& id, limit_draws& draws);

    /// Whether a request may still be sent to the endpoint that was chosen for it. Counts it as
    /// sent then.
    bool take_send(const std::string& id, limit_draws& draws);

    /// Whether only rate limits keep a request from all endpoints of the service at which it could
    /// begin.
    bool denied_by_limits(const std::string& service, const limit_draws& draws) const;

    const endpoint_record* find_endpoint(const std::string& id) const;
    const endpoint_record* find_endpoint_at(const std::string& address) const;

    /// Whether new work may be sent to the endpoint.
    bool usable(const endpoint_record& record) const;

    /// Whether the endpoint is shutting down, by its entry or by its own answers.
    bool leaving(const endpoint_record& record) const;

    /// Whether a request that was placed on the endpoint may still be sent to it.
    bool may_send(const std::string& id) const;

    /// When the first of the endpoints that want no requests for some time wants some again;
    /// nullopt if an endpoint at which requests of the service begin is usable now, or none will
    /// be.
    std::optional<time_point> work_wanted_at(const std::string& service) const;

    /// Records what the run of an endpoint that began at `started_ms` says of itself in an answer.
    /// `answers_call`: it answers the call that was sent at `sent`, not a query or an order.
    void note_answer(
        const std::string& id, std::uint64_t started_ms, unsigned status,
        const std::vector<http_field>& fields, time_point sent, bool answers_call);

    /// Sends a query or an order to an endpoint; fails with `endpoint_lost` if it is not listed.
    boost::asio::awaitable<absl::StatusOr<http_response>>
    call(std::string endpoint, http_request request, std::chrono::milliseconds timeout);

    /// Whether the endpoint may hold layers in the plan: it is not leaving and does not count as
    /// lost.
    bool plannable(const endpoint_record& record) const;

    /// Whether the endpoint is listed and suspected of not responding. An endpoint that is no
    /// longer listed does not count as lost, since it may still finish its running requests.
    bool lost(const std::string& id) const;

    /// Finds out by a query to its address whether a run of an endpoint has ended: nothing listens
    /// there. Silence, broken connections, a removed entry and a later start time prove nothing of
    /// what was sent before: the entry that was known then may have been old.
    boost::asio::awaitable<bool> check_ended(endpoint_run run);

    /// Whether the run of an endpoint has ended although it was not leaving. The end of a
    /// connection does not show whether an answer without a length is complete; this does, for an
    /// endpoint that was killed. One that does not answer in time counts as running.
    boost::asio::awaitable<bool> check_killed(endpoint_run run);

    /// Finds out whether a run of an endpoint that lost a connection has crashed: it has ended or
    /// was started again, and it was not leaving. Suspects it then.
    boost::asio::awaitable<bool> check_crashed(endpoint_run run);

    /// Layers that the endpoint holds, by its membership entry or by a newer report.
    layer_range layers_of(const endpoint_record& record) const;

    void suspect(
        const std::string& id, std::string_view reason,
        suspicion_cause cause = suspicion_cause::failure);

    /// Records that a run of an endpoint crashed under a request with these parts, which is named
    /// `identity` with its repeats.
    void note_crash(
        const std::string& request, const std::string& identity, const endpoint_run& run,
        const prompt_quarantine::part_list& parts);

    /// Logs parts of prompts that are quarantined since now, and tells the other routers.
    void note_quarantine(const prompt_quarantine::part_list& parts, std::string_view source);

    /// Suspects the endpoint because a call to it failed with `status`.
    void suspect_after(const std::string& id, const absl::Status& status);

    /// Finds the failure domains in which so many endpoints are silent that the links or this
    /// router are the more likely cause; their silence is set aside. To be called on each tick.
    void update_silent_domains(time_point now);
    void clear_suspicion(const std::string& id);

    /// Records the pace that an endpoint reported to this process (`own`) or to another router.
    void record_pace(const std::string& id, double slowdown, bool own);

    /// Takes one retry from the budget of `service`; false when the budget is exhausted.
    bool try_retry(const std::string& service);
    void count_request(const std::string& service);

    /// Takes a second attempt for a late answer from the limits of `service`; false when one of
    /// them is used up. `kind` is "call" or "stream", for the metrics.
    bool try_hedge(const std::string& service, std::string_view kind);
    /// Counts a second attempt that is not made, by its cause.
    void deny_hedge(std::string_view kind, std::string_view cause);
    /// Counts how a request with a second attempt was answered: by that one, or by the first.
    void count_hedge_end(std::string_view kind, bool won);

    std::uint64_t random_value() { return m_random(); }

    /// A random time from 0 to `most`, so that calls that wait for the same moment do not go on
    /// together.
    std::chrono::steady_clock::duration random_spread(std::chrono::steady_clock::duration most);

    /// After SIGTERM requests still arrive for this long, because load balancers keep sending
    /// callers to a router until they have checked its readiness twice.
    static constexpr std::chrono::milliseconds min_drain_time{2'500};

    /// Whether another router stays, which may serve requests that this one refuses.
    bool has_other_routers() const
    {
        return m_presence.routers().empty() ? m_router_count > 1 : m_presence.staying() > 0;
    }

    /// When a call that is refused because this router stops should be tried again. Other routers
    /// have room for it; the time keeps callers of this one from arriving together.
    std::chrono::milliseconds stop_retry_after();

    /// When a refused call to a service without pipelines should be tried again.
    std::chrono::milliseconds retry_after(const std::string& service, const limit_draws& draws);

    /// When a call should be tried again that only rate limits kept from the endpoints of the
    /// service. Each call is told a time of its own, at the rate that this router may send.
    std::chrono::milliseconds limit_retry_after(const std::string& service);

    /// Expected context length of a call at its end: prompt and answer, in tokens.
    static double expected_tokens(const routed_call& call, const pipeline_engine& engine);

    boost::asio::io_context& m_io;
    const router_settings& m_settings;
    const endpoint_protocol& m_protocol;
    metrics m_metrics;
    answer_memory m_answer_memory;
    std::shared_ptr<const routing_table> m_table; ///< nullptr until a configuration is known.
    endpoint_membership m_membership;
    endpoint_health m_health;
    endpoint_notices m_notices;
    endpoint_rate_limits m_rate_limits{std::chrono::steady_clock::now()};
    endpoint_refusals m_refusals;
    endpoint_reservations m_reservations;
    stream_durations m_stream_durations;
    std::optional<time_point> m_drain_start; ///< Set once this router stops.
    channel_pool m_channels;
    hedge_policy m_hedges;
    router_presence m_presence;
    wait_queue m_wait_queue;
    std::map<std::string, rank_demand> m_rank_demand; ///< By service that runs pipelines.
    prompt_quarantine m_quarantine;
    /// Whether this router sends the trial of a quarantined part of a prompt.
    prompt_quarantine::trial_owner m_owns_trial{[](const std::string&) { return true; }};
    /// Layers that endpoints reported after their entry was written. By endpoint id, with the start
    /// time (milliseconds) of the endpoint's process.
    std::map<std::string, std::pair<std::uint64_t, layer_range>> m_reported_layers;
    /// The part of `m_reported_layers` that this process observed and sends to other routers.
    std::map<std::string, std::pair<std::uint64_t, layer_range>> m_observed_layers;
    std::map<std::string, std::int64_t> m_plain_calls; ///< In flight, by endpoint id.
    std::set<open_session*> m_open_sessions;
    std::function<void()> m_on_capacity; ///< Called when capacity may have become free.
    std::function<void()> m_on_suspect;  ///< Called when an endpoint becomes suspected.
    /// Called when this router sends more than usual to an endpoint with a rate limit.
    std::function<void()> m_on_unusual_send;
    known_versions m_versions;
    /// Store revision up to which the endpoints were read. It may be newer than the newest change
    /// that was seen: a listing does not show removals.
    std::uint64_t m_endpoints_read_to{0};
    /// Whether this router is one of the few that poll the lease on orders and watch the store
    /// closely; the others are told of newer versions. Reads of the store then grow slower than the
    /// number of routers.
    bool m_is_store_reader{true};
    /// Reads parts of the store again; empty if there is no feed.
    std::function<void(lagging_state)> m_refresh;
    router_streams* m_streams{nullptr};
    std::uint64_t m_router_count{0}; ///< Routers that share the budgets; 0: unknown.

private:
    /// Records the rate that an answer names, or that it names none.
    void note_rate_limit(
        const std::string& id, std::uint64_t started_ms, const endpoint_rate_limits::answer& answer,
        time_point now);

    /// Whether a path must not begin at the endpoint, by what is decided already.
    bool
    denied_as_first(const std::string& id, const limit_draws& draws, bool spares_limited) const;

    bool silence_set_aside(const endpoint_record& record) const;
    double decode_layer_ms(
        const pipeline_engine& engine, const accelerator_kind& kind, const std::string& id,
        time_point now) const;
    std::vector<path_candidate> candidates(
        const routed_service& service, const std::set<std::string>& avoided,
        double kept_share = 0) const;

    /// Finds the cheapest path of the candidates, in one failure domain if there is one.
    std::vector<path_hop> cheapest_path(
        const routed_service& service, const std::vector<path_candidate>& candidates,
        path_query query);

    /// Whether a request of the service can begin at the endpoint. The layers of an endpoint are
    /// empty while they are not known.
    bool can_begin_at(const endpoint_record& record) const;

    /// Tokens of requests for which the usable endpoints have memory at the layer of each failure
    /// domain that has least, over all domains.
    double token_capacity(const routed_service& service) const;

    /// Whether a new path of the service may cross failure domains at `now`.
    bool may_cross(const routed_service& service, time_point now);
    std::uint64_t router_count() const;

    /// Services and failure domains in which silence is set aside.
    std::set<std::pair<std::string, std::string>> m_silent_domains;
    const time_point m_created{std::chrono::steady_clock::now()};
    /// Time told to the last caller that rate limits refused, by service.
    std::map<std::string, time_point> m_limit_returns;
    /// Result of `token_capacity`, by service, and when it was found.
    std::map<std::string, std::pair<double, time_point>> m_token_capacities;
    std::map<std::string, retry_budget> m_retry_budgets;
    std::map<std::string, crossing_budget> m_crossing_budgets; ///< By service.
    std::mt19937_64 m_random;
};

} // namespace fulmaryard

#endif
