#ifndef FULMARYARD_ADMINISTRATOR_HPP
#define FULMARYARD_ADMINISTRATOR_HPP

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Who may use the administration API, from process settings.
struct administrator
{
    std::string m_name;
    std::string m_key_hash;             ///< See `key_hash.hpp`.
    std::vector<std::string> m_tenants; ///< Tenants whose files it may apply and read; "*" for all.

    friend auto operator<=>(const administrator&, const administrator&) = default;
};

} // namespace fulmaryard

#endif
