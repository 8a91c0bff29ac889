#include <fulmaryard/endpoint.hpp>
#include <fulmaryard/planning_strategy.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace
{

class least_wait_strategy final : public planning_strategy
{
public:
    std::size_t
    choose(const std::vector<stage_candidate>& candidates, std::mt19937_64& random) override
    {
        const auto cheapest = std::min_element(
            candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.m_cost < b.m_cost; });
        const auto best = static_cast<std::size_t>(cheapest - candidates.begin());
        const std::array<std::size_t, 3> compared{
            best, random() % candidates.size(), random() % candidates.size()};
        // Load reports lag by up to 100 ms, in which the load changes by a step or more. A cost
        // difference of less than one step time is therefore not significant, and the entry's own
        // outstanding work, which is current, decides instead. Remaining ties are random.
        const auto cost_limit =
            cheapest->m_cost +
            std::chrono::microseconds(cheapest->m_endpoint->m_report.m_step_time_us);
        std::size_t chosen = best;
        std::uint64_t chosen_tie_breaker = random();
        for (const std::size_t index : compared)
        {
            const std::uint64_t tie_breaker = random();
            const auto& candidate = candidates[index];
            if (candidate.m_cost <= cost_limit &&
                std::tie(candidate.m_local_cost, tie_breaker) <
                    std::tie(candidates[chosen].m_local_cost, chosen_tie_breaker))
            {
                chosen = index;
                chosen_tie_breaker = tie_breaker;
            }
        }
        return chosen;
    }
};

class round_robin_strategy final : public planning_strategy
{
public:
    std::size_t choose(const std::vector<stage_candidate>& candidates, std::mt19937_64&) override
    {
        // Each stage has its own counter. A shared counter would advance by the number of stages
        // per plan, and would always select the same endpoint where that is a multiple of the
        // number of candidates.
        const auto& report = candidates.front().m_endpoint->m_report;
        return m_next[{report.m_model, report.m_layers}]++ % candidates.size();
    }

private:
    std::map<std::pair<std::string, layer_range>, std::size_t> m_next;
};

} // namespace

std::unique_ptr<planning_strategy> make_least_wait_strategy()
{
    return std::make_unique<least_wait_strategy>();
}

std::unique_ptr<planning_strategy> make_round_robin_strategy()
{
    return std::make_unique<round_robin_strategy>();
}

std::unique_ptr<planning_strategy> make_planning_strategy(std::string_view name)
{
    if (name == "least_wait")
        return make_least_wait_strategy();
    if (name == "round_robin")
        return make_round_robin_strategy();
    return nullptr;
}

} // namespace fulmaryard
