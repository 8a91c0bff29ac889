#ifndef FULMARYARD_STAGE_PLANNER_HPP
#define FULMARYARD_STAGE_PLANNER_HPP

#include <fulmaryard/directory_view.hpp>
#include <fulmaryard/pipeline_definition.hpp>
#include <fulmaryard/planning_strategy.hpp>
#include <fulmaryard/stage_plan.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// One-way cost of a hop, by the distance between two endpoints.
constexpr std::chrono::microseconds same_domain_link{100};
constexpr std::chrono::microseconds same_region_link{1000};
constexpr std::chrono::microseconds other_region_link{30'000};

/// What a plan is made for.
struct planning_request
{
    std::string_view m_prompt;
    std::uint64_t m_positions{0}; ///< Prompt and generated positions that KV memory must hold.
    std::string_view m_region;    ///< Of the entry.
    std::string_view m_failure_domain;
    std::vector<std::string> m_excluded; ///< Process ids that failed or refused.
};

/// Chooses the endpoints of a pipeline's stages. Does no I/O. Thread-safe.
class stage_planner
{
public:
    /// The same seed and calls give the same plans.
    stage_planner(std::unique_ptr<planning_strategy> strategy, std::uint64_t seed);

    /// `no_endpoint` when no live endpoint fits a stage, `overloaded` when those that fit have too
    /// little free KV memory.
    absl::StatusOr<stage_plan> plan(
        const directory_view& view, const pipeline_definition& pipeline,
        const planning_request& request);

    /// Chooses another endpoint for one stage of `current`.
    absl::StatusOr<stage_assignment> replace(
        const directory_view& view, const pipeline_definition& pipeline,
        const std::vector<stage_assignment>& current, std::size_t stage,
        const planning_request& request);

private:
    absl::StatusOr<stage_candidate> choose(
        const directory_view& view, const std::string& model, const layer_range& layers,
        const planning_request& request, std::string_view region, std::string_view domain);
    void remember_prefix(std::uint64_t key, const std::string& process);

    std::mutex m_mutex;
    std::unique_ptr<planning_strategy> m_strategy;
    std::mt19937_64 m_random;
    absl::flat_hash_map<std::uint64_t, std::string> m_prefixes; ///< Last process of a prefix.
    std::deque<std::uint64_t> m_prefix_order;
};

/// Time until an endpoint with this much outstanding work runs another step of a new stream.
std::chrono::nanoseconds expected_wait(const endpoint& candidate);

} // namespace fulmaryard

#endif
