#ifndef FULMARYARD_PLANNING_STRATEGY_HPP
#define FULMARYARD_PLANNING_STRATEGY_HPP

#include <fulmaryard/stage_candidate.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Selects one endpoint from those eligible for a stage. Not thread-safe.
class planning_strategy
{
public:
    virtual ~planning_strategy() = default;

    /// Returns an index into `candidates`, which is not empty.
    virtual std::size_t
    choose(const std::vector<stage_candidate>& candidates, std::mt19937_64& random) = 0;
};

/// Compares the endpoint of lowest cost with two endpoints drawn at random, and selects by the
/// entry's own outstanding work among those whose cost exceeds the lowest by at most one step time.
/// The random draws keep entries that share the same stale load reports from all selecting the same
/// endpoint.
std::unique_ptr<planning_strategy> make_least_wait_strategy();

/// Cycles through the endpoints of a stage regardless of load. A baseline for comparisons.
std::unique_ptr<planning_strategy> make_round_robin_strategy();

/// Creates the strategy named "least_wait" or "round_robin"; returns null for any other name.
std::unique_ptr<planning_strategy> make_planning_strategy(std::string_view name);

} // namespace fulmaryard

#endif
