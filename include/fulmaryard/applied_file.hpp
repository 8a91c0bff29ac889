#ifndef FULMARYARD_APPLIED_FILE_HPP
#define FULMARYARD_APPLIED_FILE_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Entry for one accepted apply in the history of `current_configuration`.
struct applied_file
{
    std::uint64_t m_generation{0};
    std::string m_tenant;
    std::string m_hash; ///< Hash of the file content.
    std::string m_apply_id;
    std::string m_applied_by; ///< Name of the administrator.
    std::string m_applied_at; ///< UTC, "2026-12-31T23:59:59Z".

    friend auto operator<=>(const applied_file&, const applied_file&) = default;
};

} // namespace fulmaryard

#endif
