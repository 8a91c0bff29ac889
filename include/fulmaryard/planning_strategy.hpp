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

/// Chooses one of the endpoints that fit a stage. Not thread-safe.
class planning_strategy
{
public:
    virtual ~planning_strategy() = default;

    /// Returns an index into `candidates`, which is not empty.
    virtual std::size_t
    choose(const std::vector<stage_candidate>& candidates, std::mt19937_64& random) = 0;
};

/// Lowest cost among the best by the published view and two chosen at random, so that entries with
/// the same lagging view do not all choose the same endpoint.
std::unique_ptr<planning_strategy> make_least_wait_strategy();

/// Each endpoint in turn, whatever its load; for comparison.
std::unique_ptr<planning_strategy> make_round_robin_strategy();

/// By name, "least_wait" or "round_robin"; null for another name.
std::unique_ptr<planning_strategy> make_planning_strategy(std::string_view name);

} // namespace fulmaryard

#endif
