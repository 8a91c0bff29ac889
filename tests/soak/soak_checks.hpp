#ifndef FULMARYARD_SOAK_CHECKS_HPP
#define FULMARYARD_SOAK_CHECKS_HPP

#include "soak/soak_record.hpp"

#include <string>
#include <vector>

namespace fulmaryard::soak
{

/// One broken promise.
struct violation
{
    std::string m_check;  ///< For example "at_most_once".
    std::string m_detail; ///< Which request, and what was seen.

    friend auto operator<=>(const violation&, const violation&) = default;
};

/// What one check looked at.
struct check_result
{
    std::string m_check;
    std::size_t m_seen{0}; ///< Requests, arrivals or paths that it applied to.
    std::vector<violation> m_violations;

    friend auto operator<=>(const check_result&, const check_result&) = default;
};

/// Checks the promises to callers and endpoints. Does no I/O.
std::vector<check_result> check_promises(const soak_record& record);

} // namespace fulmaryard::soak

#endif
