#ifndef FULMARYARD_REQUEST_RANK_HPP
#define FULMARYARD_REQUEST_RANK_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

namespace fulmaryard
{

/// Rank of a request among all that compete for endpoints; 0 is the most urgent.
///
/// The priority of the account goes before that of the route. Among the requests of accounts with
/// the same priority, that of the route decides: operators often give most accounts the same one.
struct request_rank
{
    /// Priorities of routes that are told apart within one priority of accounts.
    static constexpr std::uint32_t route_priorities = 10;

    /// Highest value of the urgency that endpoints take.
    static constexpr std::uint32_t max_urgency = 9;

    std::uint32_t m_first{0};  ///< Priority of the account; of the route if the account has none.
    std::uint32_t m_second{0}; ///< Priority of the route, up to `route_priorities` - 1.

    static request_rank of(std::optional<std::uint32_t> account, std::uint32_t route)
    {
        return {account.value_or(route), std::min(route, route_priorities - 1)};
    }

    /// The rank as one number; lower numbers are more urgent.
    std::uint32_t value() const
    {
        constexpr std::uint32_t max_first = 1'000'000;
        return std::min(m_first, max_first) * route_priorities + m_second;
    }

    /// Urgency for endpoints, which know ten values: three priorities of routes within each of
    /// three of accounts are told apart.
    std::uint32_t urgency() const
    {
        constexpr std::uint32_t told_apart = 3;
        const auto first = std::min(m_first, max_urgency);
        return std::min(first * told_apart + std::min(m_second, told_apart - 1), max_urgency);
    }
};

} // namespace fulmaryard

#endif
