#ifndef FULMARYARD_FLEET_OPTIONS_HPP
#define FULMARYARD_FLEET_OPTIONS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmaryard::benchmark
{

/// The system under test: three layer ranges with two engines each.
struct fleet_options
{
    static constexpr std::size_t m_ranges{3};
    static constexpr std::uint32_t m_layers{12};

    /// Step time of each engine of a range.
    std::array<std::uint32_t, 2> m_step_time_us{10'000, 20'000};
    std::uint32_t m_batch_limit{16};
    std::size_t m_entries{1};
    std::string m_entry_settings; ///< Additional YAML lines for the entries' settings.
    bool m_relays{false};         ///< Place a relay between each side process and its engine.

    /// Maximum throughput of the engines in tokens/s. A range yields the sum of batch limit divided
    /// by step time over its engines. The slowest range limits the system, and here all are equal.
    double max_tokens_per_second() const
    {
        double sum = 0;
        for (const std::uint32_t step : m_step_time_us)
            sum += m_batch_limit * 1e6 / step;
        return sum;
    }
};

} // namespace fulmaryard::benchmark

#endif
