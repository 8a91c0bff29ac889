#ifndef FULMARYARD_CONFIGURATION_FIELDS_HPP
#define FULMARYARD_CONFIGURATION_FIELDS_HPP

#include "field_table.hpp"
#include "text_checks.hpp"

#include <fulmaryard/tenant_configuration.hpp>

namespace fulmaryard
{

// The layer and token limits are far above those of any model in use. They bound the memory that a
// process allocates because of a mistyped number.
template <>
inline constexpr auto field_table<model_definition> = std::tuple{
    field{"name", &model_definition::m_name, field_rules{true, 0, 0, check_name}},
    field{"layers", &model_definition::m_layers, field_rules{true, 1, 100'000}},
    field{"max_tokens", &model_definition::m_max_tokens, field_rules{false, 1, 1'000'000}}};

template <>
inline constexpr auto field_table<pipeline_definition> = std::tuple{
    field{"name", &pipeline_definition::m_name, field_rules{true, 0, 0, check_name}},
    field{"model", &pipeline_definition::m_model, field_rules{true, 0, 0, check_name}},
    field{"stages", &pipeline_definition::m_stages, field_rules{true}}};

template <>
inline constexpr auto field_table<service_definition> = std::tuple{
    field{"name", &service_definition::m_name, field_rules{true, 0, 0, check_name}},
    field{"paths", &service_definition::m_paths, field_rules{true, 0, 0, check_path}},
    field{"methods", &service_definition::m_methods, field_rules{true, 0, 0, check_method}},
    field{
        "idempotent_methods", &service_definition::m_idempotent_methods,
        field_rules{false, 0, 0, check_method}},
    field{"deadline_ms", &service_definition::m_deadline_ms, field_rules{false, 1, 3'600'000}}};

template <>
inline constexpr auto field_table<client_account> = std::tuple{
    field{"name", &client_account::m_name, field_rules{true, 0, 0, check_name}},
    field{"key_hashes", &client_account::m_key_hashes, field_rules{true, 0, 0, check_key_hash}},
    field{
        "requests_per_second", &client_account::m_requests_per_second,
        field_rules{false, 1, 10'000'000}},
    field{
        "tokens_per_second", &client_account::m_tokens_per_second,
        field_rules{false, 1, 1'000'000'000}},
    field{"max_streams", &client_account::m_max_streams, field_rules{false, 1, 10'000'000}},
    field{"weight", &client_account::m_weight, field_rules{false, 1, 1'000}}};

template <>
inline constexpr auto field_table<binding_rule> = std::tuple{
    field{"accounts", &binding_rule::m_accounts, field_rules{true, 0, 0, check_name}},
    field{"models", &binding_rule::m_models, field_rules{false, 0, 0, check_name}},
    field{"services", &binding_rule::m_services, field_rules{false, 0, 0, check_name}},
    field{"priority", &binding_rule::m_priority, field_rules{false, 0, 100}}};

template <>
inline constexpr auto field_table<tenant_configuration> = std::tuple{
    field{"tenant", &tenant_configuration::m_tenant, field_rules{true, 0, 0, check_name}},
    field{"models", &tenant_configuration::m_models, field_rules{}},
    field{"pipelines", &tenant_configuration::m_pipelines, field_rules{}},
    field{"services", &tenant_configuration::m_services, field_rules{}},
    field{"accounts", &tenant_configuration::m_accounts, field_rules{}},
    field{"rules", &tenant_configuration::m_rules, field_rules{}}};

} // namespace fulmaryard

#endif
