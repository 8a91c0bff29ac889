#ifndef FULMARYARD_METRIC_COUNTER_HPP
#define FULMARYARD_METRIC_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace fulmaryard
{

/// Monotonic counter. Thread-safe.
class metric_counter
{
public:
    void add(std::uint64_t events = 1) noexcept
    {
        m_value.fetch_add(events, std::memory_order_relaxed);
    }

    std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace fulmaryard

#endif
