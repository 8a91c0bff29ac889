#ifndef FULMARYARD_ROUTING_TABLE_HPP
#define FULMARYARD_ROUTING_TABLE_HPP

#include <fulmaryard/routing_configuration.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Lookup index over one version of the configuration. Immutable, hence safe to share by threads.
class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(routing_configuration configuration);

    /// Returns the route of `host` whose prefix is the longest that matches `path`, or nullptr.
    const service_route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the account that `key` belongs to, or nullptr.
    const routing_account* find_account(std::string_view key) const;

    /// Returns the service called `name`, or nullptr.
    const routed_service* find_service(std::string_view name) const;

    /// Picks one of the services of `route` in proportion to their weights.
    ///
    /// `random_value` decides; it is uniform over all values of its type. If all weights are 0, the
    /// first service is returned.
    const std::string& choose_service(const service_route& route, std::uint64_t random_value) const;

    /// Whether requests need the key of an account: true once any account is configured.
    bool needs_key() const { return !m_configuration.m_accounts.empty(); }

    std::uint64_t version() const { return m_configuration.m_version; }
    const routing_configuration& configuration() const { return m_configuration; }

private:
    routing_configuration m_configuration;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routes_of_host; ///< Indices.
    absl::flat_hash_map<std::string, std::size_t> m_account_of_key;              ///< Indices.
};

} // namespace fulmaryard

#endif
