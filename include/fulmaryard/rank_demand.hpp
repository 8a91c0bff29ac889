#ifndef FULMARYARD_RANK_DEMAND_HPP
#define FULMARYARD_RANK_DEMAND_HPP

#include <fulmaryard/arrival_counter.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace fulmaryard
{

/// Rate at which requests of each rank arrive at a service, at this router and at the others.
///
/// Load pattern: a burst of a less urgent rank fills the memory of the endpoints, and the urgent
/// requests that arrive meanwhile wait for it. What is known here lets a router keep memory free
/// for them before they arrive. Rank 0 is the most urgent. Does no I/O. Not thread-safe.
class rank_demand
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using rates = std::map<std::uint32_t, double>; ///< Tokens per second by rank.

    /// Time over which arrivals are counted.
    static constexpr std::chrono::milliseconds window = arrival_counter::window;

    /// A report counts for this long after it was received; a router that has exited sends none.
    static constexpr std::chrono::milliseconds peer_report_lifetime{1'500};

    /// Records a request that will have `tokens` tokens when it ends.
    void on_arrival(std::uint32_t rank, double tokens, time_point now);

    /// Tokens per second that requests more urgent than `rank` bring to this router.
    double own_rate_above(std::uint32_t rank, time_point now) const;

    /// The same at all routers.
    double rate_above(std::uint32_t rank, time_point now) const;

    /// Rates of this router, for the others; empty while all requests have the same rank.
    rates own_rates(time_point now) const;

    /// Replaces what another router reported before.
    void on_peer_report(const std::string& router, rates reported, time_point now);

private:
    struct peer_report
    {
        rates m_rates;
        time_point m_received;
    };

    std::map<std::uint32_t, arrival_counter> m_arrivals; ///< Tokens, by rank.
    std::map<std::string, peer_report> m_peers;
};

} // namespace fulmaryard

#endif
