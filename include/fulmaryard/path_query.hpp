#ifndef FULMARYARD_PATH_QUERY_HPP
#define FULMARYARD_PATH_QUERY_HPP

#include <fulmaryard/path_hop.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Requirements and cost weights of a path search.
struct path_query
{
    std::uint32_t m_begin{0};      ///< First layer; if not 0, another endpoint runs those below.
    std::uint32_t m_layers{0};     ///< End of the layer range, exclusive.
    double m_tokens{0};            ///< Context length of the request at its end, in tokens.
    double m_unread{0};            ///< Tokens that each endpoint prefills before decoding.
    double m_prefill_weight{0.03}; ///< Cost of 1 ms of prefill, in milliseconds per decoded token.
    double m_max_prefill_wait_ms{1e9}; ///< Per endpoint, until prefill begins.
    std::string m_domain;          ///< Failure domain of all endpoints; empty: may cross domains.
    std::vector<path_hop> m_kept;  ///< Hops that need no prefill, if the path has them unchanged.
    double m_crossing_cost_ms{40}; ///< Cost of each hop to another failure domain, milliseconds.

    friend auto operator<=>(const path_query&, const path_query&) = default;
};

} // namespace fulmaryard

#endif
