#include <fulmaryard/configuration_state.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

// Number of removed tenants in the change history beyond which the history is cleared.
constexpr std::size_t max_removed_tenants = 4096;
// Number of generations in the change history. At 9,600 changes per day they span 2.5 hours, which
// is longer than regions lose connectivity.
constexpr std::size_t max_history_generations = 1000;

} // namespace

configuration_state::configuration_state() : m_current(std::make_shared<const configuration>()) {}

bool configuration_state::offer(std::shared_ptr<const configuration> candidate)
{
    // The comparison and the publication must be atomic; otherwise a concurrent offer could publish
    // a higher generation in between and this one would replace it with a lower generation.
    const std::lock_guard lock(m_mutex);
    const auto present = m_current.load();
    if (candidate->m_generation <= present->m_generation)
        return false;
    record_changes(*present, *candidate);
    m_current.publish(std::move(candidate));
    return true;
}

void configuration_state::record_changes(const configuration& before, const configuration& after)
{
    const std::uint64_t generation = after.m_generation;
    // Restarts the history at the first configuration of the process, and when it holds more
    // removals than are worth keeping.
    if (before.m_generation == 0 || m_removed.size() > max_removed_tenants)
    {
        m_changed.clear();
        m_removed.clear();
        m_history_generations = {generation};
        return;
    }
    m_history_generations.push_back(generation);
    if (m_history_generations.size() > max_history_generations)
        m_history_generations.pop_front();
    auto old = before.m_tenants.begin();
    for (const auto& tenant : after.m_tenants)
    {
        for (; old != before.m_tenants.end() && old->m_tenant < tenant.m_tenant; ++old)
        {
            m_removed[old->m_tenant] = generation;
            m_changed.erase(old->m_tenant);
        }
        const bool present = old != before.m_tenants.end() && old->m_tenant == tenant.m_tenant;
        if (!present || *old != tenant)
        {
            m_changed[tenant.m_tenant] = generation;
            m_removed.erase(tenant.m_tenant);
        }
        if (present)
            ++old;
    }
    for (; old != before.m_tenants.end(); ++old)
    {
        m_removed[old->m_tenant] = generation;
        m_changed.erase(old->m_tenant);
    }
}

std::optional<configuration_delta> configuration_state::changes_since(std::uint64_t known) const
{
    const std::lock_guard lock(m_mutex);
    const auto present = m_current.load();
    if (known >= present->m_generation ||
        !std::binary_search(m_history_generations.begin(), m_history_generations.end(), known))
        return std::nullopt;
    configuration_delta delta;
    delta.m_base_generation = known;
    delta.m_changed.m_generation = present->m_generation;
    delta.m_tenants = present->m_tenants.size();
    for (const auto& tenant : present->m_tenants)
    {
        const auto changed = m_changed.find(tenant.m_tenant);
        if (changed != m_changed.end() && changed->second > known)
            delta.m_changed.m_tenants.push_back(tenant);
    }
    for (const auto& [tenant, generation] : m_removed)
    {
        if (generation > known)
            delta.m_removed.push_back(tenant);
    }
    return delta;
}

std::uint64_t configuration_state::generation() const
{
    return m_current.load()->m_generation;
}

const snapshot<configuration>& configuration_state::published() const
{
    return m_current;
}

} // namespace fulmaryard
