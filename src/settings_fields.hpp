#ifndef FULMARYARD_SETTINGS_FIELDS_HPP
#define FULMARYARD_SETTINGS_FIELDS_HPP

#include "field_table.hpp"
#include "text_checks.hpp"

#include <fulmaryard/entry_settings.hpp>
#include <fulmaryard/router_settings.hpp>
#include <fulmaryard/side_settings.hpp>

namespace fulmaryard
{

template <>
inline constexpr auto field_table<administrator> = std::tuple{
    field{"name", &administrator::m_name, field_rules{true, 0, 0, check_administrator}},
    field{"key_hash", &administrator::m_key_hash, field_rules{true, 0, 0, check_key_hash}},
    field{"tenants", &administrator::m_tenants, field_rules{true, 0, 0, check_tenant}}};

template <>
inline constexpr auto field_table<entry_settings> = std::tuple{
    field{"name", &entry_settings::m_name, field_rules{true, 0, 0, check_name}},
    field{"peer_listen", &entry_settings::m_peer_listen, field_rules{true, 0, 0, check_address}},
    field{
        "peer_advertise", &entry_settings::m_peer_advertise,
        field_rules{false, 0, 0, check_address}},
    field{"region", &entry_settings::m_region, field_rules{true, 0, 0, check_name}},
    field{"failure_domain", &entry_settings::m_failure_domain, field_rules{true, 0, 0, check_name}},
    field{"platform", &entry_settings::m_platform, field_rules{true, 0, 0, check_address}},
    field{"threads", &entry_settings::m_threads, field_rules{false, 1, 256}},
    field{"drain_limit_ms", &entry_settings::m_drain_limit_ms, field_rules{false, 0, 86'400'000}},
    field{"log_level", &entry_settings::m_log_level, field_rules{false, 0, 0, check_log_level}},
    field{"listen", &entry_settings::m_listen, field_rules{true, 0, 0, check_address}},
    field{"peers", &entry_settings::m_peers, field_rules{false, 0, 0, check_address}},
    field{"administrators", &entry_settings::m_administrators, field_rules{}},
    field{
        "max_body_bytes", &entry_settings::m_max_body_bytes,
        field_rules{false, 1'024, 1'073'741'824}},
    field{"max_connections", &entry_settings::m_max_connections, field_rules{false, 1, 1'000'000}},
    field{
        "request_memory_bytes", &entry_settings::m_request_memory_bytes,
        field_rules{false, 1'048'576, 4'294'967'295}},
    field{
        "request_deadline_ms", &entry_settings::m_request_deadline_ms,
        field_rules{false, 1, 3'600'000}},
    field{
        "first_token_target_ms", &entry_settings::m_first_token_target_ms,
        field_rules{false, 1, 3'600'000}},
    field{"planner", &entry_settings::m_planner, field_rules{false, 0, 0, check_planner}},
    field{"recovery", &entry_settings::m_recovery, field_rules{false, 0, 0, check_recovery}}};

template <>
inline constexpr auto field_table<router_settings> = std::tuple{
    field{"name", &router_settings::m_name, field_rules{true, 0, 0, check_name}},
    field{"region", &router_settings::m_region, field_rules{true, 0, 0, check_name}},
    field{
        "failure_domain", &router_settings::m_failure_domain, field_rules{true, 0, 0, check_name}},
    field{"platform", &router_settings::m_platform, field_rules{true, 0, 0, check_address}},
    field{"listen", &router_settings::m_listen, field_rules{true, 0, 0, check_address}},
    field{"ready_listen", &router_settings::m_ready_listen, field_rules{true, 0, 0, check_address}},
    field{
        "metrics_listen", &router_settings::m_metrics_listen,
        field_rules{true, 0, 0, check_address}},
    field{"peer_listen", &router_settings::m_peer_listen, field_rules{true, 0, 0, check_address}},
    field{
        "log_level", &router_settings::m_log_level,
        field_rules{false, 0, 0, check_log_level, true}},
    field{
        "grace_s", &router_settings::m_grace_ms,
        field_rules{false, 0, 86'400'000, nullptr, true, &seconds_format}},
    field{
        "grace_ms", &router_settings::m_grace_ms,
        field_rules{false, 0, 86'400'000, nullptr, true, &milliseconds_format}},
    field{
        "retry_percent", &router_settings::m_retry_percent,
        field_rules{false, 0, 100, nullptr, true}},
    field{
        "retry_slack", &router_settings::m_retry_slack,
        field_rules{false, 0, 100'000, nullptr, true, &rounded_down_format}},
    field{
        "hedge_percent", &router_settings::m_hedge_percent,
        field_rules{false, 0, 10, nullptr, true}},
    field{"max_connections", &router_settings::m_max_connections, field_rules{false, 1, 1'000'000}},
    field{
        "instance_memory_mb", &router_settings::m_instance_memory_mb,
        field_rules{false, 0, 1'000'000, nullptr, false, &rounded_down_format}},
    field{
        "request_memory_bytes", &router_settings::m_request_memory_bytes,
        field_rules{false, 0, 4'294'967'295}},
    field{
        "answer_memory_bytes", &router_settings::m_answer_memory_bytes,
        field_rules{false, 1'048'576, 4'294'967'295}}};

template <>
inline constexpr auto field_table<side_settings> = std::tuple{
    field{"name", &side_settings::m_name, field_rules{true, 0, 0, check_name}},
    field{"peer_listen", &side_settings::m_peer_listen, field_rules{true, 0, 0, check_address}},
    field{
        "peer_advertise", &side_settings::m_peer_advertise,
        field_rules{false, 0, 0, check_address}},
    field{"region", &side_settings::m_region, field_rules{true, 0, 0, check_name}},
    field{"failure_domain", &side_settings::m_failure_domain, field_rules{true, 0, 0, check_name}},
    field{"platform", &side_settings::m_platform, field_rules{true, 0, 0, check_address}},
    field{"threads", &side_settings::m_threads, field_rules{false, 1, 256}},
    field{"drain_limit_ms", &side_settings::m_drain_limit_ms, field_rules{false, 0, 86'400'000}},
    field{"log_level", &side_settings::m_log_level, field_rules{false, 0, 0, check_log_level}},
    field{"engine", &side_settings::m_engine, field_rules{false, 0, 0, check_address}},
    field{"worker", &side_settings::m_worker, field_rules{false, 0, 0, check_address}},
    field{"service", &side_settings::m_service, field_rules{false, 0, 0, check_name}},
    field{
        "max_retained_bytes", &side_settings::m_max_retained_bytes,
        field_rules{false, 0, 1'099'511'627'776}},
    field{"max_streams", &side_settings::m_max_streams, field_rules{false, 1, 10'000'000}}};

} // namespace fulmaryard

#endif
