#ifndef FULMARYARD_ROUTING_ACCOUNT_HPP
#define FULMARYARD_ROUTING_ACCOUNT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A client account and the keys that identify it.
struct routing_account
{
    std::string m_name;
    std::vector<std::string> m_keys;
    std::optional<std::uint32_t> m_priority; ///< Overrides the priority of the route.

    friend auto operator<=>(const routing_account&, const routing_account&) = default;
};

} // namespace fulmaryard

#endif
