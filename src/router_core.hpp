#ifndef FULMARYARD_ROUTER_CORE_HPP
#define FULMARYARD_ROUTER_CORE_HPP

#include <fulmaryard/call_target.hpp>
#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/crossing_budget.hpp>
#include <fulmaryard/endpoint_health.hpp>
#include <fulmaryard/endpoint_membership.hpp>
#include <fulmaryard/endpoint_protocol.hpp>
#include <fulmaryard/endpoint_refusals.hpp>
#include <fulmaryard/found_path.hpp>
#include <fulmaryard/metrics.hpp>
#include <fulmaryard/path_candidate.hpp>
#include <fulmaryard/request_room.hpp>
#include <fulmaryard/retry_budget.hpp>
#include <fulmaryard/router_settings.hpp>
#include <fulmaryard/routing_table.hpp>
#include <fulmaryard/wait_line.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

class router_streams;

/// What the parts of a router share: beliefs about endpoints, room, budgets and connections. Used
/// on the router's thread only.
class router_core
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    router_core(
        boost::asio::io_context& io, const router_settings& settings,
        const endpoint_protocol& protocol);

    /// Finds a path for `tokens` tokens, `unread` of which are read first, on which the prompt is
    /// read after `longest_wait` at most: in the failure domain where a token takes the least time,
    /// or else over several domains while the pipes between them have room. Empty when there is
    /// none.
    std::vector<path_hop> find_path(
        const routed_service& service, double tokens, double unread,
        std::chrono::milliseconds longest_wait, const std::set<std::string>& avoided);

    /// Finds a path that begins with `first`, which stays as it is. Empty when there is none.
    found_path find_path_behind(
        const routed_service& service, double tokens, double unread, const path_hop& first);

    /// Counts what a request of `tokens` tokens over `path` sends between failure domains.
    void count_crossings(
        const routed_service& service, const std::vector<path_hop>& path, double tokens);

    /// Time of one token over the hops of `path` from `begin` on, milliseconds.
    double path_cost(
        const routed_service& service, const std::vector<path_hop>& path, std::size_t begin) const;

    /// A plain endpoint of `service` with the least calls, none of `avoided`; empty when none.
    std::string
    choose_endpoint(const std::string& service, const std::set<std::string>& avoided) const;

    const endpoint_record* find_endpoint(const std::string& id) const;
    const endpoint_record* find_endpoint_at(const std::string& address) const;

    /// Whether new work may be sent to the endpoint.
    bool usable(const endpoint_record& record) const;

    /// Whether the endpoint is known not to answer. One that is no longer listed may still serve
    /// what it has begun.
    bool lost(const std::string& id) const;

    /// Layers that the endpoint holds, by its entry or by a newer report.
    layer_range layers_of(const endpoint_record& record) const;

    void suspect(const std::string& id, std::string_view reason);
    void clear_suspicion(const std::string& id);

    /// Notes the pace that an endpoint reported to this process, or to another router.
    void note_pace(const std::string& id, double pace, bool own);

    /// Takes one retry of the budget for `service`.
    bool try_retry(const std::string& service);
    void count_request(const std::string& service);

    std::uint64_t draw() { return m_random(); }

    /// Tokens that a call holds at its end.
    static double expected_tokens(const routed_call& call, const pipeline_engine& engine);

    boost::asio::io_context& m_io;
    const router_settings& m_settings;
    const endpoint_protocol& m_protocol;
    metrics m_metrics;
    std::shared_ptr<const routing_table> m_table; ///< nullptr until a configuration is known.
    endpoint_membership m_membership;
    endpoint_health m_health;
    endpoint_refusals m_refusals;
    request_room m_room;
    channel_pool m_channels;
    wait_line m_line;
    /// Layers by id and start that were reported after the entry was written.
    std::map<std::string, std::pair<std::uint64_t, layer_range>> m_reported_layers;
    /// Of these, what this process found and tells other routers.
    std::map<std::string, std::pair<std::uint64_t, layer_range>> m_told_layers;
    std::map<std::string, std::int64_t> m_plain_calls; ///< In flight, by endpoint id.
    std::function<void()> m_on_room;                   ///< Called when room may have become free.
    std::function<void()> m_on_suspect; ///< Called when an endpoint is newly found not to answer.
    router_streams* m_streams{nullptr};
    std::uint64_t m_routers{0}; ///< That share the retry budget; 0 while it is not known.

private:
    double layer_cost(
        const pipeline_engine& engine, const accelerator_kind& kind, const std::string& id,
        time_point now) const;
    std::vector<path_candidate>
    candidates(const routed_service& service, const std::set<std::string>& avoided) const;

    /// Whether a path of the service may now lead over several failure domains.
    bool may_cross(const routed_service& service, time_point now);
    std::uint64_t routers() const;

    const time_point m_created{std::chrono::steady_clock::now()};
    std::map<std::string, retry_budget> m_budgets;
    std::map<std::string, crossing_budget> m_crossings; ///< By service.
    std::mt19937_64 m_random;
};

} // namespace fulmaryard

#endif
