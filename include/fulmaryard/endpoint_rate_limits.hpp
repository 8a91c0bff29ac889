#ifndef FULMARYARD_ENDPOINT_RATE_LIMITS_HPP
#define FULMARYARD_ENDPOINT_RATE_LIMITS_HPP

#include <fulmaryard/rate_limit_report.hpp>
#include <fulmaryard/shared_rate_limit.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// The request rates that endpoints name in their answers, and the part of this router in them.
///
/// Load pattern: an endpoint in need takes only so many requests per second from all routers
/// together, which see uneven load, join, restart, die and are cut off. A limit belongs to the run
/// of the endpoint that named it, and lasts until an answer to a later request names none. Does no
/// I/O. Not thread-safe.
class endpoint_rate_limits
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A router that has not been heard for this long plus three report intervals uses its part of
    /// the limits unseen.
    static constexpr std::chrono::milliseconds max_router_silence{2'000};

    /// A router that has not been heard for this long is gone.
    static constexpr std::chrono::milliseconds router_lifetime{30'000};

    /// A limit that was neither named nor used for this long is forgotten. An endpoint that still
    /// has one says so in its next answer.
    static constexpr std::chrono::milliseconds limit_lifetime{600'000};

    /// The end of a limit is reported to others for this long.
    static constexpr std::chrono::milliseconds end_report_time{5'000};

    /// What an answer of an endpoint says.
    struct answer
    {
        std::optional<double> m_rate; ///< Requests per second that it names.
        /// An answer to a query or an order may lack a limit that holds for requests.
        bool m_to_request{true};
        time_point m_sent; ///< When the request that it answers was sent.
    };

    explicit endpoint_rate_limits(time_point now) : m_created(now) {}

    /// Records an answer. Returns true if a limit began, changed or ended.
    bool
    on_answer(const std::string& id, std::uint64_t started_ms, const answer& said, time_point now);

    /// The limit of an endpoint in requests per second; nullopt if it has none.
    std::optional<double> limit(const std::string& id, std::uint64_t started_ms) const;

    /// Whether a request of `rank` may be sent to an endpoint, as far as its limit decides. To be
    /// asked once for each request that would go there; `random_value` is uniform in [0, 1).
    bool admit(
        const std::string& id, std::uint64_t started_ms, std::uint32_t rank, double random_value,
        time_point now);

    /// Counts a request that is sent. Returns whether other routers should learn of it soon.
    bool on_sent(const std::string& id, std::uint64_t started_ms, time_point now);

    /// Requests per second that this router may send to an endpoint with a limit.
    double own_rate(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// Sets the number of routers that are listed, this one included (0: unknown), and the time
    /// between two reports of a router.
    void set_routers(std::uint64_t listed, std::chrono::milliseconds interval);

    /// Takes what another router reported, which may be nothing.
    void on_peer_reports(
        const std::string& router, const std::vector<rate_limit_report>& reports, time_point now);

    /// What this router observed, to send to others.
    std::vector<rate_limit_report> reports(time_point now);

    /// Forgets what no longer counts. To be called now and then.
    void on_tick(time_point now);

private:
    shared_rate_limit* find(const std::string& id, std::uint64_t started_ms);
    const shared_rate_limit* find(const std::string& id, std::uint64_t started_ms) const;
    shared_rate_limit::exchange exchange(time_point now) const;

    const time_point m_created;
    std::uint64_t m_listed_routers{0};
    std::chrono::milliseconds m_report_interval{0};
    std::map<std::string, time_point> m_heard;         ///< When other routers were last heard.
    std::map<std::string, shared_rate_limit> m_limits; ///< By endpoint.
};

} // namespace fulmaryard

#endif
