#ifndef FULMARYARD_RETRY_BUDGET_HPP
#define FULMARYARD_RETRY_BUDGET_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fulmaryard
{

/// What a budget grants. The defaults keep retries from amplifying an overload.
struct retry_budget_settings
{
    std::uint64_t m_percent{10}; ///< Retries for each hundred requests.
    std::uint64_t m_floor{10};   ///< Retries in 10 s that need no requests.
};

/// Bounds retries to a part of the requests of the last 10 s plus a floor. Does no I/O. Not
/// thread-safe.
class retry_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Over which requests and retries are counted.
    static constexpr std::chrono::seconds window{10};

    explicit retry_budget(retry_budget_settings settings = {}) : m_settings(settings) {}

    /// Replaces what is granted from now on.
    void set(retry_budget_settings settings) { m_settings = settings; }

    void on_request(time_point now);

    /// Takes one retry from the budget; false when it is used up.
    bool try_retry(time_point now);

private:
    struct second
    {
        std::int64_t m_time{-1};
        std::uint64_t m_requests{0};
        std::uint64_t m_retries{0};
    };

    second& slot(time_point now);

    static constexpr std::size_t window_seconds = window.count();
    retry_budget_settings m_settings;
    std::array<second, window_seconds> m_seconds;
};

} // namespace fulmaryard

#endif
