#ifndef FULMARYARD_BINDING_RULE_HPP
#define FULMARYARD_BINDING_RULE_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Grants accounts access to models and services.
struct binding_rule
{
    std::vector<std::string> m_accounts;
    std::vector<std::string> m_models;
    std::vector<std::string> m_services;
    std::uint32_t m_priority{0}; ///< Higher values run first within an account's share.

    friend auto operator<=>(const binding_rule&, const binding_rule&) = default;
};

} // namespace fulmaryard

#endif
