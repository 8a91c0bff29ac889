#ifndef FULMARYARD_ROUTING_CONFIGURATION_HPP
#define FULMARYARD_ROUTING_CONFIGURATION_HPP

#include <fulmaryard/routed_service.hpp>
#include <fulmaryard/routing_account.hpp>
#include <fulmaryard/service_route.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace fulmaryard
{

/// One version of the operators' configuration: routes, services and accounts.
struct routing_configuration
{
    std::uint64_t m_version{0};
    std::vector<service_route> m_routes;
    std::vector<routed_service> m_services;
    std::vector<routing_account> m_accounts;
    std::optional<std::uint64_t> m_max_body_bytes; ///< Largest body that callers send.

    friend auto operator<=>(const routing_configuration&, const routing_configuration&) = default;
};

} // namespace fulmaryard

#endif
