#ifndef FULMARYARD_CONFIGURATION_HPP
#define FULMARYARD_CONFIGURATION_HPP

#include <fulmaryard/tenant_configuration.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// The configuration in force: every tenant's file under one generation.
struct configuration
{
    std::uint64_t m_generation{0}; ///< Incremented by each accepted apply; 0 before the first.
    std::vector<tenant_configuration> m_tenants; ///< Sorted by tenant name.

    friend auto operator<=>(const configuration&, const configuration&) = default;
};

} // namespace fulmaryard

#endif
