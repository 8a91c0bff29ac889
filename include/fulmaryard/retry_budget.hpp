#ifndef FULMARYARD_RETRY_BUDGET_HPP
#define FULMARYARD_RETRY_BUDGET_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fulmaryard
{

/// Limits of a retry budget. The defaults keep retries from amplifying an overload.
struct retry_budget_settings
{
    std::uint64_t m_percent{10}; ///< Retries per hundred requests.
    std::uint64_t m_floor{10};   ///< Retries per 10 s that are allowed without any requests.
};

/// Limits retries to a percentage of the requests of the last 10 s, plus a floor. Does no I/O. Not
/// thread-safe.
class retry_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Sliding window in which requests and retries are counted.
    static constexpr std::chrono::seconds window{10};

    explicit retry_budget(retry_budget_settings settings = {}) : m_settings(settings) {}

    /// Replaces the limits; requests and retries already counted are kept.
    void set(retry_budget_settings settings) { m_settings = settings; }

    void on_request(time_point now);

    /// Takes one retry from the budget; false when it is used up.
    bool try_retry(time_point now);

private:
    /// Counts of one second of the window.
    struct second
    {
        std::int64_t m_second{-1}; ///< Seconds since the epoch of the clock; -1 when unused.
        std::uint64_t m_requests{0};
        std::uint64_t m_retries{0};
    };

    /// Returns the counts of the second of `now`; resets an entry that is older than the window.
    second& counts_at(time_point now);

    static constexpr std::size_t window_seconds = window.count();
    retry_budget_settings m_settings;
    std::array<second, window_seconds> m_seconds;
};

} // namespace fulmaryard

#endif
