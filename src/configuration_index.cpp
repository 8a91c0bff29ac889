#include <fulmaryard/configuration_index.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

template <typename Definition>
const Definition* find_by_name(const std::vector<Definition>& definitions, std::string_view name)
{
    const auto found = std::find_if(
        definitions.begin(), definitions.end(),
        [name](const Definition& candidate) { return candidate.m_name == name; });
    return found == definitions.end() ? nullptr : &*found;
}

/// Number of characters of `path` that a service path matches, or 0 if it does not match. An exact
/// match counts one more, so that it ranks above any prefix.
std::size_t match_rank(std::string_view pattern, std::string_view path)
{
    if (pattern == path)
        return path.size() + 1;
    const bool is_prefix = !pattern.empty() && pattern.back() == '/';
    return is_prefix && path.substr(0, pattern.size()) == pattern ? pattern.size() : 0;
}

void raise_priorities(
    absl::flat_hash_map<std::string, std::uint32_t>& priorities,
    const std::vector<std::string>& names, std::uint32_t priority)
{
    for (const auto& name : names)
    {
        auto& known = priorities[name];
        known = std::max(known, priority);
    }
}

std::optional<std::uint32_t> find_priority(
    const absl::flat_hash_map<std::string, std::uint32_t>& priorities, std::string_view name)
{
    const auto found = priorities.find(std::string(name));
    if (found == priorities.end())
        return std::nullopt;
    return found->second;
}

} // namespace

configuration_index::configuration_index(std::shared_ptr<const configuration> source)
    : m_source(std::move(source))
{
    for (const auto& tenant : m_source->m_tenants)
    {
        for (const auto& account : tenant.m_accounts)
        {
            auto& entry = m_accounts[account.m_name];
            entry.m_account = &account;
            entry.m_tenant = &tenant;
        }
        for (const auto& rule : tenant.m_rules)
        {
            for (const auto& name : rule.m_accounts)
            {
                const auto found = m_accounts.find(name);
                if (found == m_accounts.end() || found->second.m_tenant != &tenant)
                    continue;
                raise_priorities(found->second.m_models, rule.m_models, rule.m_priority);
                raise_priorities(found->second.m_services, rule.m_services, rule.m_priority);
            }
        }
    }
}

const configuration_index::account_entry*
configuration_index::find_entry(std::string_view account) const
{
    const auto found = m_accounts.find(std::string(account));
    return found == m_accounts.end() ? nullptr : &found->second;
}

const client_account* configuration_index::find_account(std::string_view name) const
{
    const auto* const entry = find_entry(name);
    return entry ? entry->m_account : nullptr;
}

const model_definition*
configuration_index::find_model(std::string_view account, std::string_view name) const
{
    const auto* const entry = find_entry(account);
    return entry ? find_by_name(entry->m_tenant->m_models, name) : nullptr;
}

const pipeline_definition*
configuration_index::find_pipeline(std::string_view account, std::string_view model) const
{
    const auto* const entry = find_entry(account);
    if (!entry)
        return nullptr;
    for (const auto& pipeline : entry->m_tenant->m_pipelines)
    {
        if (pipeline.m_model == model)
            return &pipeline;
    }
    return nullptr;
}

const service_definition*
configuration_index::find_service(std::string_view account, std::string_view path) const
{
    const auto* const entry = find_entry(account);
    if (!entry)
        return nullptr;
    const service_definition* best = nullptr;
    std::size_t best_length = 0;
    for (const auto& service : entry->m_tenant->m_services)
    {
        for (const auto& pattern : service.m_paths)
        {
            const std::size_t length = match_rank(pattern, path);
            if (length > best_length)
            {
                best = &service;
                best_length = length;
            }
        }
    }
    return best;
}

std::optional<std::uint32_t>
configuration_index::model_priority(std::string_view account, std::string_view model) const
{
    const auto* const entry = find_entry(account);
    return entry ? find_priority(entry->m_models, model) : std::nullopt;
}

std::optional<std::uint32_t>
configuration_index::service_priority(std::string_view account, std::string_view service) const
{
    const auto* const entry = find_entry(account);
    return entry ? find_priority(entry->m_services, service) : std::nullopt;
}

std::vector<const model_definition*>
configuration_index::allowed_models(std::string_view account) const
{
    std::vector<const model_definition*> models;
    const auto* const entry = find_entry(account);
    if (!entry)
        return models;
    for (const auto& model : entry->m_tenant->m_models)
    {
        if (entry->m_models.contains(model.m_name))
            models.push_back(&model);
    }
    return models;
}

} // namespace fulmaryard
