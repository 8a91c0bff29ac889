#ifndef FULMARYARD_APPLY_REQUEST_HPP
#define FULMARYARD_APPLY_REQUEST_HPP

#include <fulmaryard/tenant_configuration.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmaryard
{

/// An operator's request to apply a tenant's configuration file.
struct apply_request
{
    tenant_configuration m_file;
    std::string m_apply_id; ///< Unique; a retry with the same id has no further effect.
    std::string m_applied_by;
    std::string m_applied_at; ///< UTC, "2026-12-31T23:59:59Z".
    /// If set, the apply fails with a conflict if the tenant's file changed after this generation.
    std::optional<std::uint64_t> m_generation;

    friend auto operator<=>(const apply_request&, const apply_request&) = default;
};

} // namespace fulmaryard

#endif
