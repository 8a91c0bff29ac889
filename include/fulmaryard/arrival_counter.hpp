#ifndef FULMARYARD_ARRIVAL_COUNTER_HPP
#define FULMARYARD_ARRIVAL_COUNTER_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fulmaryard
{

/// Rate of what arrived lately, counted in slots of time. Does no I/O. Not thread-safe.
class arrival_counter
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time over which arrivals are counted.
    static constexpr std::chrono::milliseconds window{2'000};

    /// Time over which a burst is counted.
    static constexpr std::chrono::milliseconds burst_window{300};

    void add(double amount, time_point now);

    /// Amount per second over `window`.
    double rate(time_point now) const { return sum(now, slots) / to_seconds(window); }

    /// The higher of the rates over `window` and over `burst_window`; the latter counts only if at
    /// least `min_burst` arrived in it, since a few arrivals show no burst.
    double rate_with_bursts(time_point now) const;

private:
    static constexpr std::chrono::milliseconds slot_length{100};
    static constexpr std::size_t slots = window / slot_length;
    static constexpr double min_burst = 4;

    struct slot
    {
        std::int64_t m_number{-1}; ///< Slots since the epoch of the clock; -1 when unused.
        double m_amount{0};
    };

    static double to_seconds(std::chrono::steady_clock::duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }
    static std::int64_t slot_number(time_point now) { return now.time_since_epoch() / slot_length; }
    /// What arrived in the last `count` slots.
    double sum(time_point now, std::size_t count) const;

    std::array<slot, slots> m_slots;
};

} // namespace fulmaryard

#endif
