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

/// Estimated one-way latency of a link, by the location of its two ends.
constexpr std::chrono::microseconds same_domain_link_cost{100};
constexpr std::chrono::microseconds same_region_link_cost{1000};
constexpr std::chrono::microseconds other_region_link_cost{30'000};

/// Requirements of the stream to plan.
struct planning_request
{
    std::string_view m_prompt;
    std::uint64_t m_positions{0};        ///< Prompt and generated positions to hold in KV memory.
    std::string_view m_region;           ///< Region of the entry.
    std::string_view m_failure_domain;   ///< Failure domain of the entry.
    std::vector<std::string> m_excluded; ///< Ids of processes that failed or refused; not selected.
};

/// Selects an endpoint for each stage of a pipeline. Does no I/O. Thread-safe.
class stage_planner
{
public:
    /// Plans are deterministic for a given seed and sequence of calls.
    stage_planner(std::unique_ptr<planning_strategy> strategy, std::uint64_t seed);

    /// Fails with `no_endpoint` if a stage has no eligible live endpoint, and with `overloaded` if
    /// all endpoints that are otherwise eligible have too little free KV memory.
    absl::StatusOr<stage_plan> plan(
        const directory_view& view, const pipeline_definition& pipeline,
        const planning_request& request);

    /// Selects an endpoint for stage `stage` of `current`. Fails like `plan`. The current
    /// process is eligible unless `request.m_excluded` lists it.
    absl::StatusOr<stage_assignment> replace(
        const directory_view& view, const pipeline_definition& pipeline,
        const std::vector<stage_assignment>& current, std::size_t stage,
        const planning_request& request);

private:
    absl::StatusOr<stage_candidate> choose(
        const directory_view& view, const std::string& model, const layer_range& layers,
        const planning_request& request, std::string_view region, std::string_view domain);
    void record_prefix(std::uint64_t key, const std::string& process);

    std::mutex m_mutex;
    std::unique_ptr<planning_strategy> m_strategy;
    std::mt19937_64 m_random;
    absl::flat_hash_map<std::uint64_t, std::string>
        m_prefix_processes;                   ///< Last process selected, by key.
    std::deque<std::uint64_t> m_prefix_order; ///< Keys by first insertion, for eviction.
};

/// Estimates how long a step of a new stream waits behind the endpoint's outstanding work.
std::chrono::nanoseconds expected_wait(const endpoint& candidate);

} // namespace fulmaryard

#endif
