#ifndef FULMARYARD_SHARED_RATE_LIMIT_HPP
#define FULMARYARD_SHARED_RATE_LIMIT_HPP

#include <fulmaryard/arrival_counter.hpp>
#include <fulmaryard/named_rate_limit.hpp>
#include <fulmaryard/rate_limit_report.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace fulmaryard
{

/// One router's part of the request rate that a run of an endpoint takes from all routers together.
///
/// Every router keeps a copy of one token bucket: it takes out what it sends itself at once, and
/// what others sent when they report it. Since reports are late, a router with several requests
/// must not send all of them for the same tokens as the others. It admits each with the probability
/// at which the requests of all routers amount to the named rate, by the demand that they report,
/// and the more or the less, the fuller or the emptier the bucket. A rate of less than one request
/// per second and router, and uneven load, need no special care then: there are no parts that
/// routers could leave idle.
///
/// Ranks are served in order, but each keeps a small part. Does no I/O. Not thread-safe.
class shared_rate_limit
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Part of the rate that the requests of less urgent ranks keep, as far as they need it.
    static constexpr double min_less_urgent_share = 0.1;

    /// A report of the demand at another router counts for this long plus three report intervals.
    static constexpr std::chrono::milliseconds demand_lifetime{1'000};

    /// What routers other than this one change about its part of the rate.
    struct exchange
    {
        /// Time between two reports of a router; zero if there is no other router.
        std::chrono::milliseconds m_interval{0};
        /// Part of the routers that this one hears, itself included. The others use their part
        /// unseen.
        double m_heard_share{1};
    };

    shared_rate_limit(std::uint64_t started_ms, double tokens, time_point now)
        : m_started_ms(started_ms),
          m_tokens(tokens),
          m_filled(now)
    {
    }

    std::uint64_t started_ms() const { return m_started_ms; }
    bool in_force() const { return m_limit.in_force(); }
    double rate() const { return m_limit.rate(); }

    void on_named(double rate, time_point sent, time_point now);
    void on_unnamed(time_point sent);

    /// Counts a request of `rank` that would be sent, and decides whether it may be. `random_value`
    /// is uniform in [0, 1).
    bool admit(std::uint32_t rank, double random_value, const exchange& routers, time_point now);

    /// Takes out a request that is sent. Returns whether this router sends more than usual, which
    /// others should learn soon.
    bool on_sent(const exchange& routers, time_point now);

    /// Requests per second that may be sent by this router, by its part of the demand.
    double own_rate(const exchange& routers, time_point now) const;

    void on_peer_report(
        const std::string& router, const rate_limit_report& report, const exchange& routers,
        time_point now);

    rate_limit_report report(const exchange& routers, time_point now);

    /// Whether nothing has been learned or sent for `idle`.
    bool unused_for(std::chrono::milliseconds idle, time_point now) const
    {
        return now - m_used >= idle;
    }

private:
    struct peer
    {
        std::uint64_t m_sent{0};
        std::map<std::uint32_t, double> m_demand;
        std::uint64_t m_own_sent{0}; ///< Requests that this router had sent at the time.
        time_point m_heard;
    };

    /// Tokens at which requests are admitted at just the named rate.
    double target_tokens(const exchange& routers) const;
    void fill(const exchange& routers, time_point now);
    /// Requests per second by rank, at all routers.
    std::map<std::uint32_t, double> demand(const exchange& routers, time_point now) const;
    /// Requests per second of `rank` that may be sent if `all` may be in total, by the demand of
    /// all ranks.
    double
    granted(const std::map<std::uint32_t, double>& rates, std::uint32_t rank, double all) const;
    std::map<std::uint32_t, double> own_demand(time_point now) const;
    static bool counts(const peer& other, const exchange& routers, time_point now);
    /// What other routers may have sent since their last reports: as much beyond the usual as this
    /// one, since a burst seldom comes to one router alone.
    double unseen_sends(const exchange& routers, time_point now) const;

    std::uint64_t m_started_ms;
    named_rate_limit m_own_limit; ///< By the answers to this router.
    named_rate_limit m_limit;     ///< By those to all routers.
    double m_tokens;
    time_point m_filled;
    time_point m_used;
    std::uint64_t m_sent{0};
    double m_usual_rate{0}; ///< Part of this router in the rate, at its last report.
    std::map<std::uint32_t, arrival_counter> m_draws; ///< Own requests, by rank.
    std::map<std::string, peer> m_peers;
};

} // namespace fulmaryard

#endif
