#ifndef FULMARYARD_CONFIGURATION_INDEX_HPP
#define FULMARYARD_CONFIGURATION_INDEX_HPP

#include <fulmaryard/configuration.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Lookup tables for one configuration, built once per generation. Model and service names are
/// resolved in the tenant of the account. Immutable; returned pointers are valid while the index
/// exists.
class configuration_index
{
public:
    explicit configuration_index(std::shared_ptr<const configuration> source);

    std::uint64_t generation() const { return m_source->m_generation; }

    const client_account* find_account(std::string_view name) const;

    /// These search the tenant of `account` and return null if nothing matches.
    const model_definition* find_model(std::string_view account, std::string_view name) const;
    const pipeline_definition*
    find_pipeline(std::string_view account, std::string_view model) const;
    /// An exact path takes precedence over prefixes, a longer prefix over a shorter one.
    const service_definition* find_service(std::string_view account, std::string_view path) const;

    /// Highest priority among the rules that bind `account` to the model or service; nullopt if
    /// there is no such rule.
    std::optional<std::uint32_t>
    model_priority(std::string_view account, std::string_view model) const;
    std::optional<std::uint32_t>
    service_priority(std::string_view account, std::string_view service) const;

    /// Models that a rule allows the account to use.
    std::vector<const model_definition*> allowed_models(std::string_view account) const;

private:
    using priorities = absl::flat_hash_map<std::string, std::uint32_t>;

    struct account_entry
    {
        const client_account* m_account{nullptr};
        const tenant_configuration* m_tenant{nullptr};
        priorities m_models;
        priorities m_services;
    };

    const account_entry* find_entry(std::string_view account) const;

    std::shared_ptr<const configuration> m_source;
    absl::flat_hash_map<std::string, account_entry> m_accounts;
};

} // namespace fulmaryard

#endif
