#ifndef FULMARYARD_FOUND_PATH_HPP
#define FULMARYARD_FOUND_PATH_HPP

#include <fulmaryard/path_hop.hpp>

#include <compare>
#include <vector>

namespace fulmaryard
{

/// Result of a path search; `m_hops` is empty when no path exists.
struct found_path
{
    std::vector<path_hop> m_hops;
    double m_cost_ms{0}; ///< Decode time per token with the search's penalties, milliseconds.

    friend auto operator<=>(const found_path&, const found_path&) = default;
};

} // namespace fulmaryard

#endif
