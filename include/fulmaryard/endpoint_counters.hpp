#ifndef FULMARYARD_ENDPOINT_COUNTERS_HPP
#define FULMARYARD_ENDPOINT_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace fulmaryard
{

/// Counts the outstanding work of this entry at one endpoint. Thread-safe.
struct endpoint_counters
{
    std::atomic<std::uint32_t> m_outstanding{0};
};

} // namespace fulmaryard

#endif
