#ifndef FULMARYARD_STATUS_FIELDS_HPP
#define FULMARYARD_STATUS_FIELDS_HPP

#include "field_table.hpp"

#include <fulmaryard/applied_file.hpp>
#include <fulmaryard/system_status.hpp>

namespace fulmaryard
{

template <>
inline constexpr auto field_table<applied_file> = std::tuple{
    field{"generation", &applied_file::m_generation, field_rules{}},
    field{"tenant", &applied_file::m_tenant, field_rules{}},
    field{"hash", &applied_file::m_hash, field_rules{}},
    field{"apply_id", &applied_file::m_apply_id, field_rules{}},
    field{"applied_by", &applied_file::m_applied_by, field_rules{}},
    field{"applied_at", &applied_file::m_applied_at, field_rules{}}};

template <>
inline constexpr auto field_table<instance_status> = std::tuple{
    field{"name", &instance_status::m_name, field_rules{}},
    field{"role", &instance_status::m_role, field_rules{}},
    field{"address", &instance_status::m_address, field_rules{}},
    field{"region", &instance_status::m_region, field_rules{}},
    field{"failure_domain", &instance_status::m_failure_domain, field_rules{}},
    field{"state", &instance_status::m_state, field_rules{}},
    field{"generation", &instance_status::m_generation, field_rules{}},
    field{"outstanding", &instance_status::m_outstanding, field_rules{}},
    field{"step_time_us", &instance_status::m_step_time_us, field_rules{}}};

template <>
inline constexpr auto field_table<stage_status> = std::tuple{
    field{"layers", &stage_status::m_layers, field_rules{}},
    field{"live", &stage_status::m_live, field_rules{}},
    field{"leaving", &stage_status::m_leaving, field_rules{}},
    field{"outstanding", &stage_status::m_outstanding, field_rules{}}};

template <>
inline constexpr auto field_table<pipeline_status> = std::tuple{
    field{"tenant", &pipeline_status::m_tenant, field_rules{}},
    field{"name", &pipeline_status::m_name, field_rules{}},
    field{"model", &pipeline_status::m_model, field_rules{}},
    field{"stages", &pipeline_status::m_stages, field_rules{}}};

template <>
inline constexpr auto field_table<system_status> = std::tuple{
    field{"generation", &system_status::m_generation, field_rules{}},
    field{"platform", &system_status::m_platform, field_rules{}},
    field{"recoveries", &system_status::m_recoveries, field_rules{}},
    field{"instances", &system_status::m_instances, field_rules{}},
    field{"pipelines", &system_status::m_pipelines, field_rules{}}};

} // namespace fulmaryard

#endif
