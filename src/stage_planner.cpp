#include "stable_hash_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/stage_planner.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

// Prompts that agree in this many bytes share a prefix key; 256 bytes distinguish system prompts.
constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t max_prefixes = 4096;
// Cost reduction for an endpoint that probably has the prompt's prefix cached. Less than one step
// time of most engines, so that load is still distributed.
constexpr std::chrono::milliseconds prefix_cache_discount{5};

std::uint64_t
prefix_key(const std::string& model, const layer_range& layers, std::string_view prompt)
{
    return stable_hash(
        fmt::format("{}/{}/{}", model, layers.m_begin, prompt.substr(0, prefix_bytes)));
}

std::chrono::nanoseconds
link_cost(std::string_view region, std::string_view domain, const load_report& to)
{
    if (region != to.m_region)
        return other_region_link_cost;
    return domain == to.m_failure_domain ? same_domain_link_cost : same_region_link_cost;
}

std::chrono::nanoseconds queue_wait(std::uint64_t outstanding, const load_report& report)
{
    const std::uint64_t batch = std::max(report.m_batch_limit, 1U);
    return std::chrono::nanoseconds(outstanding * report.m_step_time_us * 1000 / batch);
}

} // namespace

std::chrono::nanoseconds expected_wait(const endpoint& candidate)
{
    return queue_wait(candidate.outstanding(), candidate.m_report);
}

stage_planner::stage_planner(std::unique_ptr<planning_strategy> strategy, std::uint64_t seed)
    : m_strategy(std::move(strategy)),
      m_random(seed)
{
}

absl::StatusOr<stage_candidate> stage_planner::choose(
    const directory_view& view, const std::string& model, const layer_range& layers,
    const planning_request& request, std::string_view region, std::string_view domain)
{
    const std::uint64_t key = prefix_key(model, layers, request.m_prompt);
    const auto cached_prefix = m_prefix_processes.find(key);
    std::vector<stage_candidate> candidates;
    bool lacks_memory = false;
    for (const auto& known : view.m_endpoints)
    {
        const auto& report = known.m_report;
        if (known.m_state != endpoint_state::live || !report.m_engine_up ||
            report.m_model != model || report.m_layers != layers ||
            std::count(request.m_excluded.begin(), request.m_excluded.end(), report.m_process) > 0)
            continue;
        if (report.m_free_kv_positions < request.m_positions)
        {
            lacks_memory = true;
            continue;
        }
        stage_candidate candidate;
        candidate.m_endpoint = &known;
        candidate.m_wait = expected_wait(known);
        candidate.m_link_cost = link_cost(region, domain, report);
        auto load_independent_cost = candidate.m_link_cost;
        if (cached_prefix != m_prefix_processes.end() && cached_prefix->second == report.m_process)
            load_independent_cost -= prefix_cache_discount;
        candidate.m_cost = candidate.m_wait + load_independent_cost;
        candidate.m_local_cost =
            load_independent_cost +
            queue_wait(known.m_counters->m_outstanding.load(std::memory_order_relaxed), report);
        candidates.push_back(candidate);
    }
    if (candidates.empty())
    {
        return make_failure(
            lacks_memory ? failure_kind::overloaded : failure_kind::no_endpoint,
            fmt::format(
                "no live endpoint for layers {} to {} of model {}{}", layers.m_begin, layers.m_end,
                model, lacks_memory ? " has enough free KV memory" : ""));
    }
    const auto chosen = candidates[m_strategy->choose(candidates, m_random)];
    record_prefix(key, chosen.m_endpoint->m_report.m_process);
    return chosen;
}

void stage_planner::record_prefix(std::uint64_t key, const std::string& process)
{
    if (m_prefix_processes.insert_or_assign(key, process).second)
        m_prefix_order.push_back(key);
    if (m_prefix_order.size() > max_prefixes)
    {
        m_prefix_processes.erase(m_prefix_order.front());
        m_prefix_order.pop_front();
    }
}

absl::StatusOr<stage_plan> stage_planner::plan(
    const directory_view& view, const pipeline_definition& pipeline,
    const planning_request& request)
{
    const std::lock_guard lock(m_mutex);
    stage_plan planned;
    std::string_view region = request.m_region;
    std::string_view domain = request.m_failure_domain;
    for (const auto& layers : pipeline.m_stages)
    {
        const auto chosen = choose(view, pipeline.m_model, layers, request, region, domain);
        if (!chosen.ok())
            return chosen.status();
        const auto& report = chosen->m_endpoint->m_report;
        planned.m_stages.push_back({report.m_process, chosen->m_endpoint->m_address, layers});
        planned.m_expected_wait += chosen->m_wait + chosen->m_link_cost;
        region = report.m_region;
        domain = report.m_failure_domain;
    }
    return planned;
}

absl::StatusOr<stage_assignment> stage_planner::replace(
    const directory_view& view, const pipeline_definition& pipeline,
    const std::vector<stage_assignment>& current, std::size_t stage,
    const planning_request& request)
{
    const std::lock_guard lock(m_mutex);
    std::string_view region = request.m_region;
    std::string_view domain = request.m_failure_domain;
    const auto* const previous = stage > 0 ? view.find(current[stage - 1].m_address) : nullptr;
    if (previous)
    {
        region = previous->m_report.m_region;
        domain = previous->m_report.m_failure_domain;
    }
    const auto& layers = current[stage].m_layers;
    const auto chosen = choose(view, pipeline.m_model, layers, request, region, domain);
    if (!chosen.ok())
        return chosen.status();
    return stage_assignment{
        chosen->m_endpoint->m_report.m_process, chosen->m_endpoint->m_address, layers};
}

} // namespace fulmaryard
