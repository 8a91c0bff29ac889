#ifndef FULMARYARD_ENDPOINT_RESERVATIONS_HPP
#define FULMARYARD_ENDPOINT_RESERVATIONS_HPP

#include <fulmaryard/path_hop.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard
{

/// KV cache memory, batch places and prefill work that running requests reserve on endpoints: the
/// reservations of this process plus those that other routers last reported. Does no I/O. Not
/// thread-safe.
class endpoint_reservations
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Reservations of one process on one endpoint.
    struct endpoint_usage
    {
        double m_kv_token_layers{0};         ///< KV cache entries: tokens times layers.
        double m_unread{0};                  ///< Pending prefill: prompt tokens times layers.
        std::int64_t m_starting_requests{0}; ///< Requests whose path starts at the endpoint.
        std::int64_t m_crossing_requests{0}; ///< Requests whose path includes the endpoint.

        friend auto operator<=>(const endpoint_usage&, const endpoint_usage&) = default;
    };
    using usage_by_endpoint = std::map<std::string, endpoint_usage>;

    /// A report counts for this long after it was received, because a router that has exited holds
    /// no reservations and sends no further report.
    static constexpr std::chrono::milliseconds peer_report_lifetime{1'500};

    /// Reserves the endpoints of `path` for a request that will have `tokens` tokens when it ends;
    /// `unread` is the number of prompt tokens that still need prefill.
    void take(const std::vector<path_hop>& path, double tokens, double unread = 0);
    /// Adds the prefill of `unread` tokens on each endpoint of `path`, for example after a request
    /// moved to them.
    void begin_read(const std::vector<path_hop>& path, double unread);
    /// Records that each endpoint of `path` has finished the prefill of `unread` tokens.
    void on_read(const std::vector<path_hop>& path, double unread);
    /// Releases what a request reserved with `take`; `unread` is the number of prompt tokens whose
    /// prefill did not finish. The endpoints of `path` that hold no reservation are skipped.
    void release(const std::vector<path_hop>& path, double tokens, double unread = 0);

    /// Replaces what `router` reported before, and forgets expired reports of other routers.
    void on_peer_report(const std::string& router, usage_by_endpoint use, time_point now);

    /// Sum of the reservations of all routers on an endpoint, without expired reports.
    endpoint_usage use(const std::string& endpoint, time_point now) const;

    /// Reservations of this process.
    const usage_by_endpoint& own() const { return m_own; }

private:
    struct peer_report
    {
        usage_by_endpoint m_use;
        time_point m_received;
    };

    static bool expired(const peer_report& report, time_point now);
    void add_to_totals(const usage_by_endpoint& use, int sign);

    usage_by_endpoint m_own;
    std::map<std::string, peer_report> m_peers;
    /// Sums over `m_peers`, since a path search looks up each endpoint and there may be hundreds of
    /// routers.
    usage_by_endpoint m_peer_totals;
    time_point m_oldest_report{time_point::max()}; ///< When the oldest of `m_peers` was received.
};

} // namespace fulmaryard

#endif
