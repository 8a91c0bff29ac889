#ifndef FULMARYARD_WAIT_QUEUE_HPP
#define FULMARYARD_WAIT_QUEUE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fulmaryard
{

/// Queue of requests that wait for endpoint capacity, and the retry delays of refused requests.
///
/// A request waits only while it can still start within its objective. The wait is estimated from
/// the rate at which recently ended requests released capacity, less what more urgent requests will
/// take of it. Streams that their callers are reading go first, then the order is by priority, then
/// requests that were refused or attempted before, then the older ones. The order is strict, so
/// that small requests cannot starve a large one. Retry delays are spread at the rate at which
/// capacity is released, for each priority behind those that are as urgent or more. Does no I/O.
/// Not thread-safe.
class wait_queue
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct waiting_request
    {
        std::uint64_t m_id{0};
        bool m_is_resumed{false};    ///< Its caller has a part of the answer.
        bool m_is_retry{false};      ///< Was refused, or attempted on an endpoint, before.
        std::uint32_t m_priority{0}; ///< 0 is the highest priority.
        double m_tokens{0};          ///< Tokens that the request will have when it ends.
        time_point m_latest_start;   ///< Latest start that still meets the objective.
    };

    /// Window over which the release rate is measured.
    static constexpr std::chrono::milliseconds rate_window{2'000};
    /// Longest retry delay; most callers that would have to wait longer have given up.
    static constexpr std::chrono::milliseconds max_retry_after{6'000};
    /// Shortest retry delay; covers the delay of the reports from other routers.
    static constexpr std::chrono::milliseconds min_retry_after{300};

    /// Number of requests that may wait while the release rate is not known yet.
    static constexpr std::size_t max_waiting_at_start = 64;

    /// Returns whether a request may wait: it is expected to start by `m_latest_start`. The release
    /// rate is not known until `rate_window` after the first call; until then up to
    /// `max_waiting_at_start` requests may wait. More urgent requests that arrive meanwhile take
    /// `urgent_tokens_per_second` of what is released.
    bool
    may_wait(const waiting_request& request, time_point now, double urgent_tokens_per_second = 0);

    /// Whether a request of this priority would go before all that wait, whatever their age.
    bool goes_before_all(std::uint32_t priority) const;

    void add(const waiting_request& request);
    void remove(std::uint64_t id);

    /// Returns the id of the first request in the queue; nullopt when the queue is empty.
    std::optional<std::uint64_t> next() const;

    /// Returns the ids of requests that can no longer start in time; they stay until removed.
    std::vector<std::uint64_t> expired(time_point now) const;

    /// Records that a request ended and released the capacity of `tokens` tokens. Requests that
    /// wait cannot use it if it is `rate_limited`: its endpoint has a rate limit, which has denied
    /// them.
    void on_released(double tokens, time_point now, bool rate_limited = false);

    /// Returns the delay after which a request of `tokens` tokens, refused now, should be retried.
    /// Each call schedules the retry after those of earlier calls with the same or a higher
    /// priority, up to `max_retry_after`. `urgent_tokens_per_second` is as for `may_wait`.
    std::chrono::milliseconds assign_retry_after(
        double tokens, time_point now, std::uint32_t priority, double urgent_tokens_per_second = 0);

    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

private:
    struct order_key
    {
        bool m_new_stream{true}; ///< Its caller has nothing of the answer; sorts last.
        std::uint32_t m_priority{0};
        bool m_first_attempt{false}; ///< Was neither refused nor attempted before; sorts last.
        std::uint64_t m_id{0};

        friend auto operator<=>(const order_key&, const order_key&) = default;
    };
    struct release_sample
    {
        time_point m_time;
        double m_tokens{0};
        bool m_rate_limited{false};
    };

    static order_key key_of(const waiting_request& request)
    {
        return {!request.m_is_resumed, request.m_priority, !request.m_is_retry, request.m_id};
    }

    /// Tokens per second that were released within `rate_window` before `now`, with or without
    /// those of endpoints with a rate limit.
    double released_tokens_per_second(time_point now, bool rate_limited) const;

    std::map<order_key, waiting_request> m_waiting;
    std::deque<release_sample> m_released;
    /// Retry time of the last refused request of each priority.
    std::map<std::uint32_t, time_point> m_last_retry_times;
    std::optional<time_point> m_first_query_time; ///< Time of the first call of `may_wait`.
};

} // namespace fulmaryard

#endif
