#ifndef FULMARYARD_LAYER_CONTROLLER_HPP
#define FULMARYARD_LAYER_CONTROLLER_HPP

#include "router_core.hpp"

#include <fulmaryard/layer_placement.hpp>
#include <fulmaryard/layer_plan.hpp>
#include <fulmaryard/lease_holder.hpp>
#include <fulmaryard/object_store.hpp>
#include <fulmaryard/placement_member.hpp>
#include <fulmaryard/settle_timer.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

class layer_balancer;

/// Assigns model layers to endpoints so that each failure domain holds every layer of each
/// pipeline. Only the router that holds the lease does this. It writes its plan to the object
/// store, from which the next lease holder continues.
///
/// Each order carries the number of orders that its endpoint had started when it was queried. The
/// endpoint refuses an order with another number, so an order that a paused lease holder sends, or
/// that arrives late, has no effect.
class layer_controller
{
public:
    layer_controller(router_core& core, object_store& store, std::string process);

    /// Must be called about every 100 ms.
    void on_tick(std::chrono::steady_clock::time_point now);

    bool holds_lease() const;

    /// Called when the store has come back from an older copy.
    void on_store_restored();

private:
    void advance_lease();
    boost::asio::awaitable<void> run_lease_actions(lease_action action);
    boost::asio::awaitable<void> load_plan();
    /// Replaces the stored plan, which may be of an older copy of the store and would move layers
    /// back, by an empty one: endpoints then keep the layers that they report, and only orders in
    /// progress are lost.
    boost::asio::awaitable<void> discard_plan(platform_object stored, std::uint64_t epoch);
    boost::asio::awaitable<void> save_plan_and_order(std::vector<std::string> endpoints);
    boost::asio::awaitable<void> order(std::string endpoint);
    void plan(std::chrono::steady_clock::time_point now);
    void plan_domain(
        const routed_service& service, const std::vector<placement_member>& members,
        std::vector<std::string>& changed_endpoints);
    /// Tokens that the requests of all routers reserve at the busiest layer of `members`.
    double reserved_tokens(const std::vector<placement_member>& members) const;
    /// Whether the endpoints of `domain` may be planned: one has layers already, or their set has
    /// settled.
    bool membership_stable(
        const std::string& domain, const std::vector<placement_member>& members,
        std::chrono::steady_clock::time_point now);
    /// Starts `order` unless it is already running for `endpoint`.
    void start_order(const std::string& endpoint);
    void record_reported_layers(const endpoint_record& record, layer_range layers);

    /// What is known of the endpoints of a failure domain.
    struct domain_state
    {
        settle_timer m_settling;
        /// Members for which planning has changed nothing, and whether they were short of memory.
        std::vector<placement_member> m_settled;
        bool m_settled_short{false};
        /// `layer_balancer::ideal_throughput` of these members; unknown if negative.
        double m_ideal_throughput{-1};
    };

    /// Adds the next change of the layer balancer to `assignment` if nothing else changes. Returns
    /// false if there is nothing to do in the domain.
    bool balance(
        const layer_balancer& balancer, domain_state& state,
        const std::vector<placement_member>& members, layer_assignment& assignment);

    router_core& m_core;
    object_store& m_store;
    lease_holder m_lease;
    layer_plan m_plan;
    std::uint64_t m_plan_version{0};
    std::uint64_t m_loaded_epoch{
        0};             ///< Epoch of the lease under which the plan was read; 0 if it must be read.
    bool m_busy{false}; ///< Whether a read or write of the plan is in progress.
    std::set<std::string> m_active_orders;         ///< Endpoints for which `order` is running.
    std::map<std::string, domain_state> m_domains; ///< By "service/failure domain".
    std::chrono::steady_clock::time_point m_next_plan;
    /// The stored plan may be of an older copy of the store, so it has to be discarded.
    bool m_plan_outdated{false};
    bool m_lease_held{false}; ///< Whether the lease was held at the last tick.
};

} // namespace fulmaryard

#endif
