#ifndef FULMARYARD_HEDGE_POLICY_HPP
#define FULMARYARD_HEDGE_POLICY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Decides when a request that may be repeated is sent to a second endpoint as well, because its
/// answer is later than most.
///
/// Load pattern: a few endpoints are slow or silent while the others have room, so that a few
/// answers take many times as long as the rest. Second attempts are limited to a share of the
/// requests of each service, since under overload all answers are late and more work makes them
/// later. Does no I/O. Not thread-safe.
class hedge_policy
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Share of the answers of a route that arrive before a second attempt starts.
    static constexpr double quantile = 0.95;

    /// Answers of a route that must be known before a second attempt starts.
    static constexpr std::size_t min_answers = 30;

    /// Newest answers of a route that count.
    static constexpr std::size_t max_answers = 128;

    /// Shortest time until a second attempt; covers a round trip and the jitter of the event loop.
    static constexpr std::chrono::milliseconds min_delay{20};

    /// Window in which requests and second attempts are counted.
    static constexpr std::chrono::seconds window{10};

    /// Routes that are kept; further ones get no second attempts.
    static constexpr std::size_t max_routes = 256;

    /// Sets the number of second attempts per hundred requests; 0 switches them off.
    void set_percent(std::uint32_t percent) { m_percent = percent; }
    bool enabled() const { return m_percent > 0; }

    void on_request(const std::string& service, time_point now);

    /// Records the time until the answer of a route, or the first event of a stream.
    void on_answer(const std::string& route, std::chrono::steady_clock::duration latency);

    /// Time after which an answer of the route is late; nullopt if too few are known or there are
    /// no second attempts.
    std::optional<std::chrono::steady_clock::duration> delay(const std::string& route) const;

    /// Takes one second attempt from the limit of the service; false when it is used up.
    bool try_hedge(const std::string& service, time_point now);

private:
    struct route_answers
    {
        std::vector<std::chrono::steady_clock::duration> m_latencies; ///< A ring once it is full.
        std::size_t m_next{0};                                        ///< Index of the oldest then.
    };
    struct service_counts
    {
        std::deque<time_point> m_requests; ///< Of the window.
        std::deque<time_point> m_hedges;   ///< Of the window.
    };

    std::uint32_t m_percent{0};
    std::map<std::string, route_answers> m_routes;
    std::map<std::string, service_counts> m_services;
};

} // namespace fulmaryard

#endif
