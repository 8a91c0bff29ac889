#include "soak/soak_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace fulmaryard::soak
{

namespace
{

struct kind_rules
{
    const char* m_name;
    bool m_planned;
    bool m_touches_router;
    bool m_touches_store;
};

constexpr std::array<kind_rules, static_cast<std::size_t>(fault_kind::count)> rules{{
    {"router_killed", false, true, false},    {"router_stopped", true, true, false},
    {"router_paused", false, true, false},    {"callers_delayed", false, true, false},
    {"callers_cut", false, true, false},      {"callers_silenced", false, true, false},
    {"store_delayed", false, true, false},    {"store_cut", false, true, false},
    {"store_silenced", false, true, false},   {"store_down", false, false, true},
    {"store_slow", false, false, true},       {"history_dropped", false, false, true},
    {"endpoint_killed", false, false, false}, {"endpoint_paused", false, false, false},
    {"endpoint_leaves", true, false, false},  {"endpoints_full", false, false, false},
    {"answers_lost", false, false, false},    {"key_revoked", true, false, false},
    {"key_granted", true, false, false},
}};

const kind_rules& rules_of(fault_kind kind)
{
    return rules[static_cast<std::size_t>(kind)];
}

// One seed in this many injects planned maintenance only, for which the checks are strictest.
constexpr std::uint64_t planned_only_interval = 4;

// Average rate; high enough that faults overlap and follow each other closely.
constexpr double faults_per_second = 1.2;

} // namespace

bool is_planned(fault_kind kind)
{
    return rules_of(kind).m_planned;
}

bool touches_router(fault_kind kind)
{
    return rules_of(kind).m_touches_router;
}

bool touches_store(fault_kind kind)
{
    return rules_of(kind).m_touches_store;
}

const char* to_string(fault_kind kind)
{
    return rules_of(kind).m_name;
}

soak_plan make_plan(
    std::uint64_t seed, std::chrono::milliseconds duration, std::size_t routers,
    std::size_t endpoints)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](std::uint64_t bound) { return random() % bound; };
    soak_plan plan;
    plan.m_planned_only = seed % planned_only_interval == 0;
    const auto count = static_cast<std::size_t>(
        faults_per_second * std::chrono::duration<double>(duration).count());
    while (plan.m_faults.size() < count)
    {
        fault one;
        one.m_kind = static_cast<fault_kind>(below(static_cast<std::uint64_t>(fault_kind::count)));
        if (plan.m_planned_only && !is_planned(one.m_kind))
            continue;
        one.m_at = std::chrono::milliseconds(below(static_cast<std::uint64_t>(duration.count())));
        one.m_for = std::chrono::milliseconds(200 + below(2000));
        one.m_target = below(touches_router(one.m_kind) ? routers : endpoints);
        plan.m_faults.push_back(one);
    }
    std::sort(plan.m_faults.begin(), plan.m_faults.end());
    return plan;
}

} // namespace fulmaryard::soak
