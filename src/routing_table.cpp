#include <fulmaryard/routing_table.hpp>

#include <utility>

namespace fulmaryard
{

routing_table::routing_table(routing_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (std::size_t i = 0; i < m_configuration.m_routes.size(); ++i)
        m_routes_of_host[m_configuration.m_routes[i].m_host].push_back(i);
    for (std::size_t i = 0; i < m_configuration.m_accounts.size(); ++i)
    {
        for (const auto& key : m_configuration.m_accounts[i].m_keys)
            m_account_of_key[key] = i;
    }
}

const service_route* routing_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes_of_host.find(std::string(host));
    if (found == m_routes_of_host.end())
        return nullptr;
    const service_route* best = nullptr;
    for (const auto index : found->second)
    {
        const auto& route = m_configuration.m_routes[index];
        if (path.starts_with(route.m_path_prefix) &&
            (best == nullptr || route.m_path_prefix.size() > best->m_path_prefix.size()))
            best = &route;
    }
    return best;
}

const routing_account* routing_table::find_account(std::string_view key) const
{
    const auto found = m_account_of_key.find(std::string(key));
    return found == m_account_of_key.end() ? nullptr : &m_configuration.m_accounts[found->second];
}

const routed_service* routing_table::find_service(std::string_view name) const
{
    for (const auto& service : m_configuration.m_services)
    {
        if (service.m_name == name)
            return &service;
    }
    return nullptr;
}

const std::string&
routing_table::choose_service(const service_route& route, std::uint64_t random_value) const
{
    std::uint64_t total = 0;
    for (const auto& [name, weight] : route.m_services)
        total += weight;
    if (total == 0)
        return route.m_services.front().first;
    std::uint64_t remaining = random_value % total;
    for (const auto& [name, weight] : route.m_services)
    {
        if (remaining < weight)
            return name;
        remaining -= weight;
    }
    return route.m_services.back().first;
}

} // namespace fulmaryard
