#include <fulmaryard/router_presence.hpp>

#include <algorithm>

namespace fulmaryard
{

std::size_t router_presence::staying() const
{
    return static_cast<std::size_t>(std::count_if(
        m_routers.begin(), m_routers.end(),
        [](const auto& known) { return !known.second.m_stopping; }));
}

bool router_presence::most_stay_in(const std::string& failure_domain) const
{
    std::size_t staying = 0;
    std::size_t all = 1; // This router stops.
    for (const auto& [name, known] : m_routers)
    {
        if (known.m_failure_domain != failure_domain)
            continue;
        ++all;
        staying += known.m_stopping ? 0 : 1;
    }
    return 2 * staying >= all;
}

} // namespace fulmaryard
