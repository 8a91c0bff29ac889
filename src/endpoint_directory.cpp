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

endpoint_state endpoint_directory::state_of(const tracked_endpoint& tracked)
{
    if (tracked.m_listed_leaving || (tracked.m_reported && tracked.m_endpoint.m_report.m_leaving))
        return endpoint_state::leaving;
    // A report from an earlier process at the same address does not show that the current one is
    // live.
    const bool current =
        tracked.m_reported && tracked.m_endpoint.m_report.m_process == tracked.m_process;
    return tracked.m_link_up && current ? endpoint_state::live : endpoint_state::silent;
}

endpoint_directory::tracked_endpoint& endpoint_directory::find_or_add(const std::string& address)
{
    auto& tracked = m_tracked_endpoints[address];
    if (!tracked.m_endpoint.m_counters)
    {
        tracked.m_endpoint.m_address = address;
        tracked.m_endpoint.m_counters = std::make_shared<endpoint_counters>();
    }
    return tracked;
}

void endpoint_directory::publish()
{
    auto view = std::make_shared<directory_view>();
    view->m_endpoints.reserve(m_tracked_endpoints.size());
    for (auto& [address, tracked] : m_tracked_endpoints)
    {
        tracked.m_endpoint.m_state = state_of(tracked);
        view->m_endpoints.push_back(tracked.m_endpoint);
    }
    m_published.publish(std::move(view));
    m_has_unpublished_load = false;
}

endpoint_directory::link_changes endpoint_directory::on_instance_list(const instance_list& list)
{
    const std::lock_guard lock(m_mutex);
    link_changes changes;
    for (auto& [address, tracked] : m_tracked_endpoints)
        tracked.m_listed = false;
    for (const auto& instance : list.m_instances)
    {
        if (instance.m_role != "side")
            continue;
        if (!m_tracked_endpoints.contains(instance.m_peer_address))
            changes.m_addresses_to_pin.push_back(instance.m_peer_address);
        auto& tracked = find_or_add(instance.m_peer_address);
        tracked.m_listed = true;
        tracked.m_listed_leaving = instance.m_leaving;
    }
    for (auto it = m_tracked_endpoints.begin(); it != m_tracked_endpoints.end();)
    {
        if (it->second.m_listed || it->second.m_link_up)
        {
            ++it;
            continue;
        }
        changes.m_addresses_to_unpin.push_back(it->first);
        it = m_tracked_endpoints.erase(it);
    }
    publish();
    return changes;
}

bool endpoint_directory::on_peer_hello(const hello& peer)
{
    const std::lock_guard lock(m_mutex);
    const bool added = !m_tracked_endpoints.contains(peer.m_address);
    find_or_add(peer.m_address);
    return added;
}

void endpoint_directory::on_load_report(const load_report& report)
{
    const std::lock_guard lock(m_mutex);
    auto& tracked = find_or_add(report.m_address);
    auto& reported_endpoint = tracked.m_endpoint;
    const std::uint32_t own_outstanding =
        reported_endpoint.m_counters->m_outstanding.load(std::memory_order_relaxed);
    reported_endpoint.m_others_outstanding =
        report.m_outstanding - std::min(report.m_outstanding, own_outstanding);
    const bool engine_changed = reported_endpoint.m_report.m_engine_up != report.m_engine_up;
    reported_endpoint.m_report = report;
    tracked.m_reported = true;
    m_has_unpublished_load = true;
    if (engine_changed || state_of(tracked) != reported_endpoint.m_state)
        publish();
}

void endpoint_directory::on_peer_up(const hello& peer)
{
    const std::lock_guard lock(m_mutex);
    auto& tracked = find_or_add(peer.m_address);
    tracked.m_process = peer.m_process;
    tracked.m_link_up = true;
    publish();
}

void endpoint_directory::on_peer_down(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tracked_endpoints.find(address);
    if (found == m_tracked_endpoints.end())
        return;
    found->second.m_link_up = false;
    publish();
}

void endpoint_directory::publish_load()
{
    const std::lock_guard lock(m_mutex);
    if (m_has_unpublished_load)
        publish();
}

std::size_t endpoint_directory::live_count() const
{
    const auto view = m_published.load();
    return static_cast<std::size_t>(std::count_if(
        view->m_endpoints.begin(), view->m_endpoints.end(),
        [](const endpoint& tracked) { return tracked.m_state == endpoint_state::live; }));
}

std::size_t endpoint_directory::unreported_count() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_tracked_endpoints.begin(), m_tracked_endpoints.end(),
        [](const auto& entry)
        {
            const auto& tracked = entry.second;
            return tracked.m_listed && state_of(tracked) == endpoint_state::silent;
        }));
}

} // namespace fulmaryard
