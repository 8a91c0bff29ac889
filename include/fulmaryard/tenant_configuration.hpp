#ifndef FULMARYARD_TENANT_CONFIGURATION_HPP
#define FULMARYARD_TENANT_CONFIGURATION_HPP

#include <fulmaryard/binding_rule.hpp>
#include <fulmaryard/client_account.hpp>
#include <fulmaryard/model_definition.hpp>
#include <fulmaryard/pipeline_definition.hpp>
#include <fulmaryard/service_definition.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

/// The contents of one declarative file: all resources of one tenant.
struct tenant_configuration
{
    std::string m_tenant;
    std::vector<model_definition> m_models;
    std::vector<pipeline_definition> m_pipelines;
    std::vector<service_definition> m_services;
    std::vector<client_account> m_accounts;
    std::vector<binding_rule> m_rules;

    friend auto operator<=>(const tenant_configuration&, const tenant_configuration&) = default;
};

} // namespace fulmaryard

#endif
