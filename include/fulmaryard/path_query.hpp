#ifndef FULMARYARD_PATH_QUERY_HPP
#define FULMARYARD_PATH_QUERY_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// What a path is looked for.
struct path_query
{
    std::uint32_t m_begin{0};   ///< First layer of the path; others run before it if not 0.
    std::uint32_t m_layers{0};  ///< End of the path's layers, exclusive.
    double m_tokens{0};         ///< That the request will hold at its end.
    double m_unread{0};         ///< Tokens that each endpoint of the path reads first.
    double m_read_weight{0.03}; ///< Of a millisecond of reading against one of a token's time.
    double m_longest_wait{1e9}; ///< At an endpoint before its reading begins, milliseconds.
    std::string m_domain;       ///< Only endpoints of this failure domain; empty: any, at a price.
    double m_crossing_cost{40}; ///< Of one hop to another failure domain, milliseconds.

    friend auto operator<=>(const path_query&, const path_query&) = default;
};

} // namespace fulmaryard

#endif
