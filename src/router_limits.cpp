// The part of a router's core that keeps requests within the rates that endpoints name.

#include "limit_draws.hpp"
#include "router_core.hpp"

#include <fulmaryard/log.hpp>
#include <fulmaryard/metric_counter.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fulmaryard
{

namespace
{

using steady = std::chrono::steady_clock;

// Shortest time until a caller that a rate limit refused should come back.
constexpr std::chrono::milliseconds min_limit_retry_after{250};

// Longest such time, also for a limit of zero. Few callers wait longer.
constexpr std::chrono::milliseconds max_limit_retry_after{30'000};

} // namespace

void router_core::note_rate_limit(
    const std::string& id, std::uint64_t started_ms, const endpoint_rate_limits::answer& answer,
    time_point now)
{
    if (!m_rate_limits.on_answer(id, started_ms, answer, now))
        return;
    const auto limit = m_rate_limits.limit(id, started_ms);
    log_event(log_level::info, "endpoint_rate_limit")
        .with("endpoint", id)
        .with("started_ms", started_ms)
        .with("in_force", limit.has_value())
        .with("requests_per_s", limit.value_or(0))
        .with("own_requests_per_s", m_rate_limits.own_rate(id, started_ms, now));
}

bool router_core::has_rate_limit(const std::string& id) const
{
    const auto* record = find_endpoint(id);
    return record != nullptr && m_rate_limits.limit(id, record->m_started_ms).has_value();
}

bool router_core::denied_as_first(
    const std::string& id, const limit_draws& draws, bool spares_limited) const
{
    if (!has_rate_limit(id))
        return false;
    const auto decided = draws.m_granted.find(id);
    return decided == draws.m_granted.end() ? spares_limited : !decided->second;
}

bool router_core::within_rate_limit(const std::string& id, limit_draws& draws)
{
    if (!has_rate_limit(id))
        return true;
    const auto decided = draws.m_granted.find(id);
    if (decided != draws.m_granted.end())
        return decided->second;
    if (draws.m_spares_limited)
        return false;
    const double random = static_cast<double>(m_random() - m_random.min()) /
                          (static_cast<double>(m_random.max() - m_random.min()) + 1);
    const bool granted = m_rate_limits.admit(
        id, find_endpoint(id)->m_started_ms, draws.m_rank, random, steady::now());
    draws.m_granted[id] = granted;
    m_metrics
        .counter(
            "fulmaryard_router_rate_limit_decisions_total", fmt::format("granted=\"{}\"", granted))
        .add();
    return granted;
}

bool router_core::take_send(const std::string& id, limit_draws& draws)
{
    const auto* record = find_endpoint(id);
    if (!may_send(id) || !within_rate_limit(id, draws))
        return false;
    draws.m_granted.erase(id); // A further send needs a decision of its own.
    if (record != nullptr && m_rate_limits.on_sent(id, record->m_started_ms, steady::now()) &&
        m_on_unusual_send)
        m_on_unusual_send();
    return true;
}

bool router_core::denied_by_limits(const std::string& service, const limit_draws& draws) const
{
    bool denied = false;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_service != service || !can_begin_at(record) || !usable(record))
            continue;
        if (!denied_as_first(id, draws, draws.m_spares_limited))
            return false;
        denied = true;
    }
    return denied;
}

std::chrono::milliseconds router_core::limit_retry_after(const std::string& service)
{
    const auto now = steady::now();
    double rate = 0;
    for (const auto& [id, record] : m_membership.endpoints())
    {
        if (record.m_service == service && can_begin_at(record) && usable(record))
            rate += m_rate_limits.own_rate(id, record.m_started_ms, now);
    }
    const double max_seconds = std::chrono::duration<double>(max_limit_retry_after).count();
    const auto interval = std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(rate * max_seconds > 1 ? 1 / rate : max_seconds));
    auto& last = m_limit_returns[service];
    // Callers of other routers return meanwhile, each at a moment within its interval.
    last = std::min(
        std::max(last, now + min_limit_retry_after) + interval, now + max_limit_retry_after);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        last - random_spread(std::min(interval, last - now - min_limit_retry_after)) - now);
}

} // namespace fulmaryard
