#ifndef FULMARYARD_DIRECTORY_VIEW_HPP
#define FULMARYARD_DIRECTORY_VIEW_HPP

#include <fulmaryard/endpoint.hpp>

#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Immutable list of endpoints, sorted by address. The counters it points to are still updated.
struct directory_view
{
    std::vector<endpoint> m_endpoints;

    /// Returns the endpoint with this address, or null if there is none.
    const endpoint* find(std::string_view address) const;
};

} // namespace fulmaryard

#endif
