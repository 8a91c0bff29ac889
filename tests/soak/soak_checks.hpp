#ifndef FULMARYARD_SOAK_CHECKS_HPP
#define FULMARYARD_SOAK_CHECKS_HPP

#include "soak/soak_record.hpp"

#include <string>
#include <vector>

namespace fulmaryard::soak
{

/// One violation of a guarantee.
struct violation
{
    std::string m_check;  ///< For example "at_most_once".
    std::string m_detail; ///< The request concerned and what was observed.

    friend auto operator<=>(const violation&, const violation&) = default;
};

/// Result of one check.
struct check_result
{
    std::string m_check;
    std::size_t m_checked_count{
        0}; ///< Number of requests, arrivals or paths that the check covered.
    std::vector<violation> m_violations;

    friend auto operator<=>(const check_result&, const check_result&) = default;
};

/// Checks the guarantees given to callers and endpoints. Does no I/O.
std::vector<check_result> check_guarantees(const soak_record& record);

} // namespace fulmaryard::soak

#endif
