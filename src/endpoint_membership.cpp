#include <fulmaryard/endpoint_membership.hpp>

#include <set>
#include <utility>

namespace fulmaryard
{

std::vector<std::string>
endpoint_membership::on_listing(const std::vector<endpoint_record>& records, time_point now)
{
    const bool restored = m_restored_at && now - *m_restored_at < restored_entry_grace;
    std::vector<std::string> doubtful;
    std::set<std::string> listed;
    for (const auto& record : records)
    {
        listed.insert(record.m_id);
        if (!restored)
            on_changed(record);
        else if (on_restored_entry(record, now))
            doubtful.push_back(record.m_id);
    }
    std::erase_if(
        m_held_back, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    std::vector<std::string> missing;
    for (const auto& [id, record] : m_endpoints)
    {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        on_removed(id, now);
    return doubtful;
}

bool endpoint_membership::on_restored_entry(const endpoint_record& record, time_point now)
{
    const auto known = m_endpoints.find(record.m_id);
    if (known != m_endpoints.end())
    {
        if (record.m_started_ms > known->second.m_started_ms)
        {
            on_changed(record);
            return false;
        }
        if (record.m_started_ms == known->second.m_started_ms)
        {
            m_removal_times.erase(record.m_id);
            known->second.m_leaving = known->second.m_leaving || record.m_leaving;
        }
        return known->second != record;
    }
    const auto removed = m_removed.find(record.m_id);
    if (removed != m_removed.end() && record.m_started_ms <= removed->second.m_started_ms &&
        now - removed->second.m_removed < removed_lifetime)
        m_held_back[record.m_id] = record;
    else
        on_changed(record);
    return false;
}

void endpoint_membership::on_changed(const endpoint_record& record)
{
    auto& known = m_endpoints[record.m_id];
    // A run that leaves never takes that back.
    const bool leaves = known.m_leaving && known.m_started_ms == record.m_started_ms;
    known = record;
    known.m_leaving = known.m_leaving || leaves;
    m_removal_times.erase(record.m_id);
    m_removed.erase(record.m_id);
    m_held_back.erase(record.m_id);
}

void endpoint_membership::erase(
    std::map<std::string, endpoint_record>::iterator endpoint, time_point now)
{
    m_removed[endpoint->first] = {endpoint->second.m_started_ms, now};
    m_endpoints.erase(endpoint);
}

void endpoint_membership::on_removed(const std::string& id, time_point now)
{
    m_held_back.erase(id);
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || m_removal_times.contains(id))
        return;
    const bool maybe_expired =
        m_store_lost || (m_store_recovered_at && now - *m_store_recovered_at < relisting_grace);
    // An endpoint that announced its shutdown will not be listed again, so there is nothing to wait
    // for, unless the copy of a restored store lacks its entry.
    const bool restored = m_restored_at && now - *m_restored_at < restored_entry_grace;
    if (maybe_expired && (restored || !found->second.m_leaving))
        m_removal_times[id] = m_store_recovered_at.value_or(now) + relisting_grace;
    else
        erase(found, now);
}

void endpoint_membership::on_store_unavailable(time_point)
{
    m_store_lost = true;
}

void endpoint_membership::on_store_recovered(time_point now)
{
    if (!m_store_lost)
        return;
    m_store_lost = false;
    m_store_recovered_at = now;
    if (!m_held_back.empty())
        m_restored_at = now;
    for (auto& [id, at] : m_removal_times)
        at = now + relisting_grace;
}

void endpoint_membership::on_store_restored(time_point now)
{
    m_restored_at = now;
    m_store_recovered_at = now;
    for (auto& [id, at] : m_removal_times)
        at = now + relisting_grace;
}

bool endpoint_membership::on_tick(time_point now)
{
    bool removed = false;
    std::erase_if(
        m_removed,
        [now](const auto& entry) { return now - entry.second.m_removed >= removed_lifetime; });
    if (m_store_lost)
        return removed;
    // The store had time to remove entries of endpoints that are gone, and to tell of it.
    if (m_restored_at && now - *m_restored_at >= restored_entry_grace &&
        now - m_store_recovered_at.value_or(now) >= relisting_grace)
    {
        for (const auto& [id, record] : std::exchange(m_held_back, {}))
            on_changed(record);
    }
    for (auto entry = m_removal_times.begin(); entry != m_removal_times.end();)
    {
        if (now < entry->second)
        {
            ++entry;
            continue;
        }
        if (const auto endpoint = m_endpoints.find(entry->first); endpoint != m_endpoints.end())
        {
            erase(endpoint, now);
            removed = true;
        }
        entry = m_removal_times.erase(entry);
    }
    return removed;
}

} // namespace fulmaryard
