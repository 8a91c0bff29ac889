#ifndef FULMARYARD_SERVICE_DEFINITION_HPP
#define FULMARYARD_SERVICE_DEFINITION_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A plain service beside the models.
struct service_definition
{
    std::string m_name;
    std::vector<std::string> m_paths;              ///< Exact paths, or prefixes that end in "/".
    std::vector<std::string> m_methods;            ///< Methods that are routed.
    std::vector<std::string> m_idempotent_methods; ///< Methods whose calls may be repeated; others
                                                   ///< need an idempotency key.
    std::uint32_t m_deadline_ms{10000};            ///< For one call, milliseconds.

    friend auto operator<=>(const service_definition&, const service_definition&) = default;
};

} // namespace fulmaryard

#endif
