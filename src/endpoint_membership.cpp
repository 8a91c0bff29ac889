#include <fulmaryard/endpoint_membership.hpp>

#include <set>

namespace fulmaryard
{

void endpoint_membership::on_listing(const std::vector<endpoint_record>& records, time_point now)
{
    std::set<std::string> listed;
    for (const auto& record : records)
    {
        listed.insert(record.m_id);
        on_changed(record);
    }
    std::vector<std::string> missing;
    for (const auto& [id, record] : m_endpoints)
    {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        on_removed(id, now);
}

void endpoint_membership::on_changed(const endpoint_record& record)
{
    m_endpoints[record.m_id] = record;
    m_removal_times.erase(record.m_id);
}

void endpoint_membership::on_removed(const std::string& id, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || m_removal_times.contains(id))
        return;
    const bool maybe_expired =
        m_store_lost || (m_store_recovered_at && now - *m_store_recovered_at < relisting_grace);
    // An endpoint that announced its shutdown will not be listed again, so there is nothing to wait
    // for.
    if (maybe_expired && !found->second.m_leaving)
        m_removal_times[id] = m_store_recovered_at.value_or(now) + relisting_grace;
    else
        m_endpoints.erase(found);
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
    for (auto& [id, at] : m_removal_times)
        at = now + relisting_grace;
}

bool endpoint_membership::on_tick(time_point now)
{
    bool removed = false;
    if (m_store_lost)
        return removed;
    for (auto entry = m_removal_times.begin(); entry != m_removal_times.end();)
    {
        if (now < entry->second)
        {
            ++entry;
            continue;
        }
        removed = m_endpoints.erase(entry->first) > 0 || removed;
        entry = m_removal_times.erase(entry);
    }
    return removed;
}

} // namespace fulmaryard
