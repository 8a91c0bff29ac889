#ifndef FULMARYARD_RETRY_BUDGET_HPP
#define FULMARYARD_RETRY_BUDGET_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fulmaryard
{

/// Bounds retries to 10% of the requests of the last 10 s plus a floor of 10, so that they cannot
/// amplify an overload. Does no I/O. Not thread-safe.
class retry_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

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

    static constexpr std::size_t window_seconds = 10;
    std::array<second, window_seconds> m_seconds;
};

} // namespace fulmaryard

#endif
