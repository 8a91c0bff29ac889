#ifndef FULMARYARD_FOUND_PATH_HPP
#define FULMARYARD_FOUND_PATH_HPP

#include <fulmaryard/path_hop.hpp>

#include <compare>
#include <vector>

namespace fulmaryard
{

/// A path and what it costs; no hops when there is none.
struct found_path
{
    std::vector<path_hop> m_hops;
    double m_cost{0}; ///< Time of one token, milliseconds.

    friend auto operator<=>(const found_path&, const found_path&) = default;
};

} // namespace fulmaryard

#endif
