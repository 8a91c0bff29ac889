#ifndef FULMARYARD_WAIT_LINE_HPP
#define FULMARYARD_WAIT_LINE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fulmaryard
{

/// Requests that wait for room, and when a refused one may return.
///
/// A request waits only while it can still begin within its objective; the wait is estimated from
/// the room that ended requests set free lately. Callers that were refused before go first, then
/// the more urgent, then the older. The order is strict, so that a large request is not passed by
/// small ones for ever. Times to return are spread at the rate at which room becomes free. Does no
/// I/O. Not thread-safe.
class wait_line
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct waiting_request
    {
        std::uint64_t m_id{0};
        bool m_returning{false};     ///< Was refused before.
        std::uint32_t m_priority{0}; ///< 0 is the most urgent.
        double m_tokens{0};
        time_point m_give_up_at; ///< When it could no longer begin in time.
    };

    /// Window over which the rate of room set free is measured.
    static constexpr std::chrono::milliseconds rate_window{2'000};
    /// Callers that come back later than this have mostly given up.
    static constexpr std::chrono::milliseconds longest_return{6'000};
    /// Shortest time after which a caller is asked back; covers the lag of what routers report.
    static constexpr std::chrono::milliseconds shortest_return{300};

    /// Requests that may wait while the rate is not known yet.
    static constexpr std::size_t most_at_start = 64;

    /// Whether a request may wait: its turn is expected before `give_up_at`. In the first window
    /// after the first question the rate is not known, and a bounded number may wait.
    bool worth_waiting(const waiting_request& request, time_point now);

    void add(const waiting_request& request);
    void remove(std::uint64_t id);

    /// The request whose turn it is.
    std::optional<std::uint64_t> next() const;

    /// Requests that could no longer begin in time; they stay until removed.
    std::vector<std::uint64_t> expired(time_point now) const;

    void on_released(double tokens, time_point now);

    /// When a request of `tokens` that is refused now should return.
    std::chrono::milliseconds promise_return(double tokens, time_point now);

    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

private:
    struct order_key
    {
        bool m_new{false};
        std::uint32_t m_priority{0};
        std::uint64_t m_id{0};

        friend auto operator<=>(const order_key&, const order_key&) = default;
    };
    struct released_room
    {
        time_point m_time;
        double m_tokens{0};
    };

    double released_per_second(time_point now) const;

    std::map<order_key, waiting_request> m_waiting;
    std::deque<released_room> m_released;
    time_point m_promised_until;
    std::optional<time_point> m_first_asked;
};

} // namespace fulmaryard

#endif
