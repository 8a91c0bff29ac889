#ifndef FULMARYARD_LIMIT_DRAWS_HPP
#define FULMARYARD_LIMIT_DRAWS_HPP

#include <fulmaryard/request_rank.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace fulmaryard
{

/// What the rate limits of endpoints decided for one attempt of a request. Each endpoint with a
/// limit is asked once for each time that the request may be sent to it.
struct limit_draws
{
    /// Rank of a request that begins; 0 is left to streams that their callers are reading. Requests
    /// that were refused before go first among those of their rank: they were told when to return.
    static std::uint32_t rank_of(const request_rank& rank, bool returns)
    {
        return rank.value() * 2 + (returns ? 1 : 2);
    }

    std::uint32_t m_rank{0};
    bool m_spares_limited{false};            ///< Leaves endpoints with a limit to other requests.
    std::map<std::string, bool> m_granted{}; ///< By endpoint.
};

} // namespace fulmaryard

#endif
