#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/hello.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

std::string_view to_string(endpoint_state state) noexcept
{
    switch (state)
    {
    case endpoint_state::live:
        return "live";
    case endpoint_state::leaving:
        return "leaving";
    default:
        return "silent";
    }
}

const endpoint* directory_view::find(std::string_view address) const
{
    const auto found = std::lower_bound(
        m_endpoints.begin(), m_endpoints.end(), address,
        [](const endpoint& candidate, std::string_view name)
        { return candidate.m_address < name; });
    return found != m_endpoints.end() && found->m_address == address ? &*found : nullptr;
}

endpoint_directory::endpoint_directory() : m_published(std::make_shared<directory_view>()) {}

endpoint_state endpoint_directory::state_of(const record& known)
{
    if (known.m_listed_leaving || (known.m_reported && known.m_endpoint.m_report.m_leaving))
        return endpoint_state::leaving;
    // A report from an earlier process at the same address does not show that the current one is
    // live.
    const bool current = known.m_reported && known.m_endpoint.m_report.m_process == known.m_process;
    return known.m_link_up && current ? endpoint_state::live : endpoint_state::silent;
}

endpoint_directory::record& endpoint_directory::at(const std::string& address)
{
    auto& known = m_records[address];
    if (!known.m_endpoint.m_counters)
    {
        known.m_endpoint.m_address = address;
        known.m_endpoint.m_counters = std::make_shared<endpoint_counters>();
    }
    return known;
}

void endpoint_directory::publish()
{
    auto view = std::make_shared<directory_view>();
    view->m_endpoints.reserve(m_records.size());
    for (auto& [address, known] : m_records)
    {
        known.m_endpoint.m_state = state_of(known);
        view->m_endpoints.push_back(known.m_endpoint);
    }
    m_published.publish(std::move(view));
    m_dirty = false;
}

endpoint_directory::link_changes endpoint_directory::on_instances(const instance_list& list)
{
    const std::lock_guard lock(m_mutex);
    link_changes changes;
    for (auto& [address, known] : m_records)
        known.m_listed = false;
    for (const auto& instance : list.m_instances)
    {
        if (instance.m_role != "side")
            continue;
        if (!m_records.contains(instance.m_peer_address))
            changes.m_pin.push_back(instance.m_peer_address);
        auto& known = at(instance.m_peer_address);
        known.m_listed = true;
        known.m_listed_leaving = instance.m_leaving;
    }
    for (auto it = m_records.begin(); it != m_records.end();)
    {
        if (it->second.m_listed || it->second.m_link_up)
        {
            ++it;
            continue;
        }
        changes.m_unpin.push_back(it->first);
        it = m_records.erase(it);
    }
    publish();
    return changes;
}

bool endpoint_directory::on_peer_hello(const hello& peer)
{
    const std::lock_guard lock(m_mutex);
    const bool added = !m_records.contains(peer.m_address);
    at(peer.m_address);
    return added;
}

void endpoint_directory::on_load_report(const load_report& report)
{
    const std::lock_guard lock(m_mutex);
    auto& known = at(report.m_address);
    auto& present = known.m_endpoint;
    const std::uint32_t own = present.m_counters->m_outstanding.load(std::memory_order_relaxed);
    present.m_others_outstanding = report.m_outstanding - std::min(report.m_outstanding, own);
    const bool engine_changed = present.m_report.m_engine_up != report.m_engine_up;
    present.m_report = report;
    known.m_reported = true;
    m_dirty = true;
    if (engine_changed || state_of(known) != present.m_state)
        publish();
}

void endpoint_directory::on_peer_up(const hello& peer)
{
    const std::lock_guard lock(m_mutex);
    auto& known = at(peer.m_address);
    known.m_process = peer.m_process;
    known.m_link_up = true;
    publish();
}

void endpoint_directory::on_peer_down(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(address);
    if (found == m_records.end())
        return;
    found->second.m_link_up = false;
    publish();
}

void endpoint_directory::publish_load()
{
    const std::lock_guard lock(m_mutex);
    if (m_dirty)
        publish();
}

std::size_t endpoint_directory::live_count() const
{
    const auto view = m_published.load();
    return static_cast<std::size_t>(std::count_if(
        view->m_endpoints.begin(), view->m_endpoints.end(),
        [](const endpoint& known) { return known.m_state == endpoint_state::live; }));
}

} // namespace fulmaryard
