#include <fulmaryard/endpoint_rate_limits.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

// Assumed number of routers while neither a list nor another router has told it.
constexpr std::uint64_t default_router_count = 20;

} // namespace

const shared_rate_limit*
endpoint_rate_limits::find(const std::string& id, std::uint64_t started_ms) const
{
    const auto found = m_limits.find(id);
    return found != m_limits.end() && found->second.started_ms() == started_ms &&
                   found->second.in_force()
               ? &found->second
               : nullptr;
}

shared_rate_limit* endpoint_rate_limits::find(const std::string& id, std::uint64_t started_ms)
{
    return const_cast<shared_rate_limit*>(std::as_const(*this).find(id, started_ms));
}

shared_rate_limit::exchange endpoint_rate_limits::exchange(time_point now) const
{
    std::uint64_t heard = 1;
    for (const auto& [router, time] : m_heard)
        heard += now - time <= max_router_silence + 3 * m_report_interval ? 1 : 0;
    std::uint64_t expected = m_heard.size() + 1;
    // Listed routers that were never heard may be gone; they count while this one is young.
    if (now - m_created < router_lifetime)
        expected = std::max(
            expected, m_listed_routers > 0 || heard > 1 ? m_listed_routers : default_router_count);
    shared_rate_limit::exchange routers;
    routers.m_interval = expected > 1 ? m_report_interval : std::chrono::milliseconds(0);
    routers.m_heard_share = static_cast<double>(heard) / static_cast<double>(expected);
    return routers;
}

bool endpoint_rate_limits::on_answer(
    const std::string& id, std::uint64_t started_ms, const answer& said, time_point now)
{
    auto found = m_limits.find(id);
    if (found != m_limits.end() && found->second.started_ms() > started_ms)
        return false; // An answer of an earlier run that arrived late.
    const bool is_known = found != m_limits.end() && found->second.started_ms() == started_ms;
    if (!said.m_rate)
    {
        if (!is_known || !said.m_to_request)
            return false;
        const bool was_in_force = found->second.in_force();
        found->second.on_unnamed(said.m_sent);
        return was_in_force && !found->second.in_force();
    }
    if (!is_known)
        found = m_limits.insert_or_assign(id, shared_rate_limit(started_ms, 0, now)).first;
    auto& limit = found->second;
    const bool was_in_force = limit.in_force();
    const double rate = limit.rate();
    limit.on_named(*said.m_rate, said.m_sent, now);
    return !was_in_force || limit.rate() != rate;
}

std::optional<double>
endpoint_rate_limits::limit(const std::string& id, std::uint64_t started_ms) const
{
    const auto* limit = find(id, started_ms);
    return limit == nullptr ? std::nullopt : std::optional(limit->rate());
}

bool endpoint_rate_limits::admit(
    const std::string& id, std::uint64_t started_ms, std::uint32_t rank, double random_value,
    time_point now)
{
    auto* limit = find(id, started_ms);
    return limit == nullptr || limit->admit(rank, random_value, exchange(now), now);
}

bool endpoint_rate_limits::on_sent(const std::string& id, std::uint64_t started_ms, time_point now)
{
    auto* limit = find(id, started_ms);
    return limit != nullptr && limit->on_sent(exchange(now), now);
}

double endpoint_rate_limits::own_rate(
    const std::string& id, std::uint64_t started_ms, time_point now) const
{
    const auto* limit = find(id, started_ms);
    return limit == nullptr ? 0 : limit->own_rate(exchange(now), now);
}

void endpoint_rate_limits::set_routers(std::uint64_t listed, std::chrono::milliseconds interval)
{
    m_listed_routers = listed;
    m_report_interval = interval;
}

void endpoint_rate_limits::on_peer_reports(
    const std::string& router, const std::vector<rate_limit_report>& reports, time_point now)
{
    m_heard[router] = now;
    const auto routers = exchange(now);
    for (const auto& report : reports)
    {
        auto found = m_limits.find(report.m_endpoint);
        if (found != m_limits.end() && found->second.started_ms() > report.m_started_ms)
            continue;
        if (found == m_limits.end() || found->second.started_ms() < report.m_started_ms)
        {
            if (!report.m_limit.in_force())
                continue;
            found = m_limits
                        .insert_or_assign(
                            report.m_endpoint,
                            shared_rate_limit(report.m_started_ms, report.m_tokens, now))
                        .first;
        }
        found->second.on_peer_report(router, report, routers, now);
    }
}

std::vector<rate_limit_report> endpoint_rate_limits::reports(time_point now)
{
    std::vector<rate_limit_report> reports;
    const auto routers = exchange(now);
    for (auto& [id, limit] : m_limits)
    {
        auto report = limit.report(routers, now);
        const bool ended_lately = now - report.m_limit.cleared() < end_report_time;
        if (!limit.in_force() && !ended_lately)
            continue;
        report.m_endpoint = id;
        reports.push_back(std::move(report));
    }
    return reports;
}

void endpoint_rate_limits::on_tick(time_point now)
{
    std::erase_if(
        m_heard, [now](const auto& heard) { return now - heard.second > router_lifetime; });
    std::erase_if(
        m_limits,
        [now](const auto& entry)
        {
            const auto& limit = entry.second;
            return limit.unused_for(limit.in_force() ? limit_lifetime : 2 * end_report_time, now);
        });
}

} // namespace fulmaryard
