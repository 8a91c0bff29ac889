#include <fulmaryard/endpoint_health.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace
{

// Interval between removals of what has expired.
constexpr std::chrono::seconds cleanup_interval{1};

} // namespace

bool endpoint_health::suspect(
    const std::string& id, std::uint64_t started_ms, time_point now, suspicion_cause cause)
{
    if (cause == suspicion_cause::silence)
    {
        const auto alive = m_alive_at.find(id);
        if (alive != m_alive_at.end() && now - alive->second < alive_lifetime)
            return false;
    }
    const auto [entry, added] = m_own.try_emplace(id);
    auto& own = entry->second;
    const bool other_run = added || own.m_started_ms != started_ms;
    const bool stronger = own.m_cause == suspicion_cause::silence && cause != own.m_cause;
    if (other_run)
        own = {started_ms, cause, now, {}};
    else if (stronger)
        own.m_cause = cause;
    own.m_next_probe = now + probe_interval;
    return other_run || stronger;
}

bool endpoint_health::any_silence(time_point now) const
{
    const auto is_silent = [](const auto& entry)
    { return entry.second.m_cause == suspicion_cause::silence; };
    const auto agreed = [&](const auto& entry) { return peers_agree(entry.second, now); };
    return std::any_of(m_own.begin(), m_own.end(), is_silent) ||
           std::any_of(m_peer_silences.begin(), m_peer_silences.end(), agreed);
}

void endpoint_health::on_tick(time_point now)
{
    if (now < m_next_cleanup)
        return;
    m_next_cleanup = now + cleanup_interval;
    std::erase_if(
        m_alive_at, [now](const auto& entry) { return now - entry.second >= alive_lifetime; });
    std::erase_if(
        m_peer_suspicions, [now](const auto& entry) { return now >= entry.second.m_until; });
    std::erase_if(
        m_slowdowns,
        [now](const auto& entry) { return now - entry.second.m_time > slowdown_lifetime; });
    std::erase_if(
        m_peer_silences,
        [now](const auto& entry)
        {
            const auto& until = entry.second.m_until;
            return std::all_of(
                until.begin(), until.end(),
                [now](const auto& report) { return now >= report.second; });
        });
}

void endpoint_health::on_alive(const std::string& id, time_point now)
{
    m_alive_at[id] = now;
    const auto own = m_own.find(id);
    if (own != m_own.end() && own->second.m_cause == suspicion_cause::silence)
        m_own.erase(own);
}

void endpoint_health::on_peer_suspicion(
    const std::string& id, std::uint64_t started_ms, time_point now)
{
    m_peer_suspicions[id] = {started_ms, now + peer_suspicion_lifetime};
}

void endpoint_health::on_peer_silence(
    const std::string& router, const std::string& id, std::uint64_t started_ms, time_point now)
{
    auto& silence = m_peer_silences[id];
    if (silence.m_started_ms != started_ms)
        silence = {started_ms, {}, {}};
    const bool agreed = peers_agree(silence, now);
    silence.m_until[router] = now + peer_suspicion_lifetime;
    if (!agreed)
        silence.m_since = now;
}

bool endpoint_health::peers_agree(const peer_silence& silence, time_point now) const
{
    const auto reports = std::count_if(
        silence.m_until.begin(), silence.m_until.end(),
        [now](const auto& report) { return now < report.second; });
    return static_cast<std::size_t>(reports) >= min_silence_reports;
}

bool endpoint_health::clear(const std::string& id)
{
    return m_own.erase(id) > 0;
}

bool endpoint_health::failed(const std::string& id, std::uint64_t started_ms, time_point now) const
{
    const auto own = m_own.find(id);
    if (own != m_own.end() && own->second.m_started_ms == started_ms &&
        own->second.m_cause == suspicion_cause::failure)
        return true;
    const auto peer = m_peer_suspicions.find(id);
    return peer != m_peer_suspicions.end() && peer->second.m_started_ms == started_ms &&
           now < peer->second.m_until;
}

bool endpoint_health::suspected(
    const std::string& id, std::uint64_t started_ms, time_point now) const
{
    const auto own = m_own.find(id);
    if ((own != m_own.end() && own->second.m_started_ms == started_ms) ||
        failed(id, started_ms, now))
        return true;
    const auto silence = m_peer_silences.find(id);
    const auto alive = m_alive_at.find(id);
    return silence != m_peer_silences.end() && silence->second.m_started_ms == started_ms &&
           peers_agree(silence->second, now) &&
           (alive == m_alive_at.end() || now - alive->second >= alive_lifetime);
}

bool endpoint_health::lost(const std::string& id, std::uint64_t started_ms, time_point now) const
{
    if (failed(id, started_ms, now))
        return true;
    if (!suspected(id, started_ms, now))
        return false;
    const auto own = m_own.find(id);
    if (own != m_own.end() && own->second.m_started_ms == started_ms)
        return now - own->second.m_since >= silence_until_lost;
    return now - m_peer_silences.at(id).m_since >= silence_until_lost;
}

std::vector<std::pair<std::string, std::uint64_t>> endpoint_health::own(suspicion_cause cause) const
{
    std::vector<std::pair<std::string, std::uint64_t>> suspected;
    for (const auto& [id, entry] : m_own)
    {
        if (entry.m_cause == cause)
            suspected.emplace_back(id, entry.m_started_ms);
    }
    return suspected;
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
