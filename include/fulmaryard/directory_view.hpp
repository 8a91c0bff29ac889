#ifndef FULMARYARD_DIRECTORY_VIEW_HPP
#define FULMARYARD_DIRECTORY_VIEW_HPP

#include <fulmaryard/endpoint.hpp>

#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Immutable list of endpoints, sorted by address; their counters stay current.
struct directory_view
{
    std::vector<endpoint> m_endpoints;

    /// Null when there is none.
    const endpoint* find(std::string_view address) const;
};

} // namespace fulmaryard

#endif
