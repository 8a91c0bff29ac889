#ifndef FULMARYARD_ROUTING_TABLE_HPP
#define FULMARYARD_ROUTING_TABLE_HPP

#include <fulmaryard/routing_configuration.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Index over one version of the configuration. Immutable, so threads may share it.
class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(routing_configuration configuration);

    /// The route of `host` with the longest prefix of `path`, or nullptr.
    const service_route* find_route(std::string_view host, std::string_view path) const;

    /// The account that holds `key`, or nullptr.
    const routing_account* find_account(std::string_view key) const;

    const routed_service* find_service(std::string_view name) const;

    /// The service of `route` for one call; `draw` spreads calls over the weights.
    const std::string& choose_service(const service_route& route, std::uint64_t draw) const;

    /// Whether requests need the key of an account.
    bool needs_key() const { return !m_configuration.m_accounts.empty(); }

    std::uint64_t version() const { return m_configuration.m_version; }
    const routing_configuration& configuration() const { return m_configuration; }

private:
    routing_configuration m_configuration;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routes_of_host;
    absl::flat_hash_map<std::string, std::size_t> m_account_of_key;
};

} // namespace fulmaryard

#endif
