#ifndef FULMARYARD_SERVICE_DEFINITION_HPP
#define FULMARYARD_SERVICE_DEFINITION_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A plain service: HTTP requests that are forwarded to workers without involving a model.
struct service_definition
{
    std::string m_name;
    std::vector<std::string> m_paths;              ///< Exact paths, or prefixes ending in "/".
    std::vector<std::string> m_methods;            ///< Allowed HTTP methods.
    std::vector<std::string> m_idempotent_methods; ///< Methods whose calls may be retried; all
                                                   ///< others need an idempotency key.
    std::uint32_t m_deadline_ms{10000};            ///< Deadline of one call, in ms.

    friend auto operator<=>(const service_definition&, const service_definition&) = default;
};

} // namespace fulmaryard

#endif
