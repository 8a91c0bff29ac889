#include "entry_status.hpp"

#include "entry_services.hpp"

#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/directory_view.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

void add_load(instance_status& instance, const endpoint& known)
{
    instance.m_state = to_string(known.m_state);
    instance.m_generation = known.m_report.m_generation;
    instance.m_outstanding = known.outstanding();
    instance.m_step_time_us = known.m_report.m_step_time_us;
}

stage_status
stage_status_of(const layer_range& layers, const std::string& model, const directory_view& view)
{
    stage_status stage{layers, 0, 0, 0};
    for (const auto& known : view.m_endpoints)
    {
        if (known.m_report.m_model != model || known.m_report.m_layers != layers)
            continue;
        if (known.m_state == endpoint_state::leaving)
            ++stage.m_leaving;
        if (known.m_state != endpoint_state::live || !known.m_report.m_engine_up)
            continue;
        ++stage.m_live;
        stage.m_outstanding += known.outstanding();
    }
    return stage;
}

std::vector<pipeline_status>
pipeline_statuses(const configuration& active, const directory_view& view)
{
    std::vector<pipeline_status> pipelines;
    for (const auto& tenant : active.m_tenants)
    {
        for (const auto& pipeline : tenant.m_pipelines)
        {
            pipeline_status summary{tenant.m_tenant, pipeline.m_name, pipeline.m_model, {}};
            for (const auto& layers : pipeline.m_stages)
                summary.m_stages.push_back(stage_status_of(layers, pipeline.m_model, view));
            pipelines.push_back(std::move(summary));
        }
    }
    return pipelines;
}

} // namespace

entry_status::entry_status(
    const entry_services& services, const configuration_state& state,
    std::function<bool()> platform_reachable, std::function<std::string()> dump)
    : m_services(services),
      m_state(state),
      m_platform_reachable(std::move(platform_reachable)),
      m_dump(std::move(dump))
{
}

void entry_status::set_instances(const instance_list& list)
{
    const std::lock_guard lock(m_mutex);
    m_list = list;
    std::erase_if(
        m_entries,
        [&](const auto& item)
        {
            return std::none_of(
                list.m_instances.begin(), list.m_instances.end(),
                [&](const auto& instance) { return instance.m_peer_address == item.first; });
        });
}

void entry_status::record_entry_report(const std::string& address, std::uint64_t generation)
{
    const std::lock_guard lock(m_mutex);
    m_entries[address] = {generation, std::chrono::steady_clock::now()};
}

instance_status
entry_status::status_of(const listed_instance& listed, const directory_view& view) const
{
    instance_status summary;
    summary.m_name = listed.m_name;
    summary.m_role = listed.m_role;
    summary.m_address = listed.m_peer_address;
    summary.m_region = listed.m_region;
    summary.m_failure_domain = listed.m_failure_domain;
    summary.m_state = "silent";
    if (listed.m_role != "entry")
    {
        if (const endpoint* known = view.find(listed.m_peer_address))
            add_load(summary, *known);
    }
    else if (listed.m_peer_address == m_services.m_settings.advertised_address())
    {
        summary.m_state = m_services.m_draining ? "leaving" : "live";
        summary.m_generation = m_state.generation();
    }
    else if (const auto found = m_entries.find(listed.m_peer_address); found != m_entries.end())
    {
        summary.m_generation = found->second.m_generation;
        if (std::chrono::steady_clock::now() - found->second.m_at < m_entry_report_timeout)
            summary.m_state = "live";
    }
    if (listed.m_leaving && summary.m_state == "live")
        summary.m_state = "leaving";
    return summary;
}

void entry_status::add_unlisted_endpoints(system_status& result, const directory_view& view) const
{
    // The instance list is updated with a delay, so side processes with an open link are included
    // even if they are not listed yet.
    for (const auto& known : view.m_endpoints)
    {
        const bool listed = std::any_of(
            result.m_instances.begin(), result.m_instances.end(),
            [&](const instance_status& summary) { return summary.m_address == known.m_address; });
        if (listed || known.m_state == endpoint_state::silent)
            continue;
        instance_status summary;
        summary.m_name = known.m_report.m_process;
        summary.m_role = "side";
        summary.m_address = known.m_address;
        summary.m_region = known.m_report.m_region;
        summary.m_failure_domain = known.m_report.m_failure_domain;
        add_load(summary, known);
        result.m_instances.push_back(std::move(summary));
    }
}

system_status entry_status::status() const
{
    const auto view = m_services.m_directory.published().load();
    const auto active = m_state.published().load();
    system_status result;
    result.m_generation = active->m_generation;
    result.m_recoveries = m_services.m_metrics.m_recoveries.value();
    result.m_platform = m_platform_reachable() ? "reachable" : "unreachable";
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& listed : m_list.m_instances)
            result.m_instances.push_back(status_of(listed, *view));
    }
    add_unlisted_endpoints(result, *view);
    result.m_pipelines = pipeline_statuses(*active, *view);
    return result;
}

std::string entry_status::dump() const
{
    return m_dump();
}

} // namespace fulmaryard
