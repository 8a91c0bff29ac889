#ifndef FULMARYARD_LAYER_CONTROLLER_HPP
#define FULMARYARD_LAYER_CONTROLLER_HPP

#include "router_core.hpp"

#include <fulmaryard/layer_plan.hpp>
#include <fulmaryard/lease_holder.hpp>
#include <fulmaryard/object_store.hpp>
#include <fulmaryard/placement_member.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Keeps every layer of each pipeline held in each failure domain. One router at a time does this,
/// under a lease; its plan lies in the store, so that another goes on from it.
///
/// An order names how many orders its endpoint has begun. An order of a paused holder, or one that
/// is carried out late, then no longer fits and is refused.
class layer_controller
{
public:
    layer_controller(router_core& core, object_store& store, std::string process);

    /// Call it every 100 ms or so.
    void on_tick(std::chrono::steady_clock::time_point now);

    bool holds_lease() const;

private:
    void step_lease();
    boost::asio::awaitable<void> carry_out_lease(lease_action action);
    boost::asio::awaitable<void> load_plan();
    boost::asio::awaitable<void> save_and_order(std::vector<std::string> endpoints);
    boost::asio::awaitable<void> order(std::string endpoint);
    void plan(std::chrono::steady_clock::time_point now);
    void plan_domain(
        const routed_service& service, const std::vector<placement_member>& members,
        std::vector<std::string>& changed);
    bool settled(
        const std::string& domain, const std::vector<placement_member>& members,
        std::chrono::steady_clock::time_point now);
    void start_order(const std::string& endpoint);
    void note_layers(const endpoint_record& record, layer_range layers);

    struct domain_state
    {
        std::vector<std::string> m_members;
        std::chrono::steady_clock::time_point m_since;
    };

    router_core& m_core;
    object_store& m_store;
    lease_holder m_lease;
    layer_plan m_plan;
    std::uint64_t m_plan_version{0};
    std::uint64_t m_loaded_epoch{0}; ///< Lease under which the plan was read.
    bool m_busy{false};              ///< The plan is being read or written.
    std::set<std::string> m_ordering;
    std::map<std::string, domain_state> m_domains;
    bool m_held{false};
};

} // namespace fulmaryard

#endif
