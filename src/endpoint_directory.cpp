#include "stable_hash_inl.hpp"

#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/hello.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace
{

// Links at a time that are opened only to learn what an endpoint runs.
constexpr std::size_t max_probed = 256;

} // namespace

const endpoint* directory_view::find(std::string_view address) const
{
    const auto found = std::lower_bound(
        m_endpoints.begin(), m_endpoints.end(), address,
        [](const endpoint& candidate, std::string_view name)
        { return candidate.m_address < name; });
    return found != m_endpoints.end() && found->m_address == address ? &*found : nullptr;
}

endpoint_directory::endpoint_directory(link_preference preference)
    : m_preference(std::move(preference)),
      m_published(std::make_shared<directory_view>())
{
}

endpoint_state endpoint_directory::state_of(const record& known)
{
    if (known.m_listed_leaving || (known.m_reported && known.m_endpoint.m_report.m_leaving))
        return endpoint_state::leaving;
    if (known.m_parked)
        return endpoint_state::silent;
    // A report of an earlier process on the address says nothing about the present one.
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
        known.m_rank = mix_bits(stable_hash(address) ^ stable_hash(m_preference.m_self));
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
    for (auto& [address, known] : m_records)
        known.m_listed = false;
    for (const auto& instance : list.m_instances)
    {
        if (instance.m_role != "side")
            continue;
        auto& known = at(instance.m_peer_address);
        known.m_listed = true;
        known.m_region = instance.m_region;
        known.m_failure_domain = instance.m_failure_domain;
        known.m_listed_leaving = instance.m_leaving;
    }
    link_changes changes = choose_links_locked();
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
    auto& known = at(peer.m_address);
    known.m_pinned = known.m_pinned || added;
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
    known.m_down = false;
    publish();
}

void endpoint_directory::on_peer_down(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(address);
    if (found == m_records.end())
        return;
    found->second.m_link_up = false;
    found->second.m_down = true;
    publish();
}

void endpoint_directory::pin(record& known, link_changes& changes)
{
    known.m_parked = false;
    if (known.m_pinned)
        return;
    known.m_pinned = true;
    changes.m_pin.push_back(known.m_endpoint.m_address);
}

endpoint_directory::link_changes endpoint_directory::choose_links()
{
    const std::lock_guard lock(m_mutex);
    link_changes changes;
    if (m_preference.m_per_stage == 0)
        return changes;
    changes = choose_links_locked();
    publish();
    return changes;
}

endpoint_directory::link_changes endpoint_directory::choose_links_locked()
{
    link_changes changes;
    std::map<std::pair<std::string, layer_range>, std::vector<record*>> stages;
    std::vector<record*> unknown;
    std::size_t probing = 0;
    for (auto& [address, known] : m_records)
    {
        const auto& report = known.m_endpoint.m_report;
        if (!known.m_listed)
            continue;
        if (m_preference.m_per_stage == 0 || !report.m_service.empty())
            pin(known, changes);
        else if (known.m_reported && !report.m_model.empty())
            stages[{report.m_model, report.m_layers}].push_back(&known);
        else if (!known.m_pinned)
            unknown.push_back(&known);
        else if (!known.m_down)
            ++probing;
    }
    for (auto* const known : unknown)
    {
        if (++probing <= max_probed)
            pin(*known, changes);
    }
    for (auto& [layers, stage] : stages)
        choose_stage_links(stage, changes);
    return changes;
}

void endpoint_directory::choose_stage_links(std::vector<record*>& stage, link_changes& changes)
{
    const auto end = std::partition(
        stage.begin(), stage.end(),
        [](const record* known) {
            return !known->m_down && !known->m_listed_leaving &&
                   !known->m_endpoint.m_report.m_leaving;
        });
    const auto usable = static_cast<std::size_t>(end - stage.begin());
    const std::size_t chosen = std::min(m_preference.m_per_stage, usable);
    const auto other_region = [this](const record* known)
    { return known->m_region != m_preference.m_region; };
    const auto other_domain = [this](const record* known)
    { return known->m_failure_domain != m_preference.m_failure_domain; };
    std::sort(
        stage.begin(), end,
        [&](const record* a, const record* b)
        {
            return std::tuple(other_region(a), other_domain(a), a->m_rank) <
                   std::tuple(other_region(b), other_domain(b), b->m_rank);
        });
    std::sort(
        stage.begin() + static_cast<std::ptrdiff_t>((chosen + 1) / 2), end,
        [&](const record* a, const record* b)
        { return std::pair(other_region(a), a->m_rank) < std::pair(other_region(b), b->m_rank); });
    for (std::size_t at = 0; at < usable; ++at)
    {
        record& known = *stage[at];
        known.m_endpoint.m_represented =
            static_cast<double>(usable) / static_cast<double>(std::max<std::size_t>(chosen, 1));
        if (at < chosen)
            pin(known, changes);
        else if (!known.m_pinned && !known.m_link_up)
            continue;
        else if (!known.m_parked)
            known.m_parked = true;
        else if (known.m_endpoint.m_counters->m_outstanding.load(std::memory_order_relaxed) == 0)
        {
            known.m_pinned = false;
            known.m_link_up = false;
            changes.m_unpin.push_back(known.m_endpoint.m_address);
        }
    }
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
