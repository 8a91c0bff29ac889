#ifndef FULMARYARD_ADMINISTRATOR_HPP
#define FULMARYARD_ADMINISTRATOR_HPP

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

/// An account that may use the administration API, defined in the process settings.
struct administrator
{
    std::string m_name;
    std::string m_key_hash; ///< See `key_hash.hpp`.
    /// Tenants whose configuration files it may apply and read; "*" means all tenants.
    std::vector<std::string> m_tenants;

    friend auto operator<=>(const administrator&, const administrator&) = default;
};

} // namespace fulmaryard

#endif
