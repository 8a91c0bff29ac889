#include <fulmaryard/endpoint_health.hpp>

namespace fulmaryard
{

bool endpoint_health::suspect(const std::string& id, std::uint64_t started_ms, time_point now)
{
    const auto [entry, added] = m_own.try_emplace(id);
    const bool other_run = entry->second.m_started_ms != started_ms;
    entry->second.m_started_ms = started_ms;
    entry->second.m_next_probe = now + probe_interval;
    return added || other_run;
}

void endpoint_health::on_peer_suspicion(
    const std::string& id, std::uint64_t started_ms, time_point now)
{
    m_peer_suspicions[id] = {started_ms, now + peer_suspicion_lifetime};
}

bool endpoint_health::clear(const std::string& id)
{
    return m_own.erase(id) > 0;
}

bool endpoint_health::suspected(
    const std::string& id, std::uint64_t started_ms, time_point now) const
{
    if (const auto own = m_own.find(id); own != m_own.end())
    {
        if (own->second.m_started_ms == started_ms)
            return true;
    }
    const auto peer = m_peer_suspicions.find(id);
    return peer != m_peer_suspicions.end() && peer->second.m_started_ms == started_ms &&
           now < peer->second.m_until;
}

std::vector<std::pair<std::string, std::uint64_t>> endpoint_health::own() const
{
    std::vector<std::pair<std::string, std::uint64_t>> suspected;
    for (const auto& [id, entry] : m_own)
        suspected.emplace_back(id, entry.m_started_ms);
    return suspected;
}

void endpoint_health::on_slowdown(const std::string& id, double slowdown, bool own, time_point now)
{
    auto& reported = m_slowdowns[id];
    // A report made to this process takes precedence until it expires, since other routers may
    // send the same report back.
    const bool still_own = reported.m_own && now - reported.m_time <= slowdown_lifetime;
    if (own || !still_own)
        reported = {slowdown, own, now, now + slowdown_lifetime * 2 / 3};
}

double endpoint_health::slowdown(const std::string& id, time_point now) const
{
    const auto found = m_slowdowns.find(id);
    if (found == m_slowdowns.end() || now - found->second.m_time > slowdown_lifetime)
        return 1;
    return found->second.m_slowdown;
}

std::vector<std::pair<std::string, double>> endpoint_health::slow(time_point now) const
{
    std::vector<std::pair<std::string, double>> found;
    for (const auto& [id, reported] : m_slowdowns)
    {
        if (reported.m_own && reported.m_slowdown >= slow_threshold &&
            now - reported.m_time <= slowdown_lifetime)
            found.emplace_back(id, reported.m_slowdown);
    }
    return found;
}

std::vector<std::string> endpoint_health::take_due_probes(time_point now)
{
    std::vector<std::string> due;
    for (auto& [id, reported] : m_slowdowns)
    {
        if (!reported.m_own || reported.m_slowdown < slow_threshold ||
            now < reported.m_next_probe || now - reported.m_time > slowdown_lifetime)
            continue;
        reported.m_next_probe = now + probe_interval;
        due.push_back(id);
    }
    for (auto& [id, entry] : m_own)
    {
        if (now < entry.m_next_probe)
            continue;
        entry.m_next_probe = now + probe_interval;
        due.push_back(id);
    }
    return due;
}

} // namespace fulmaryard
