#ifndef FULMARYARD_ENDPOINT_COUNTERS_HPP
#define FULMARYARD_ENDPOINT_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace fulmaryard
{

/// Work that this entry has outstanding at one endpoint. Thread-safe.
struct endpoint_counters
{
    std::atomic<std::uint32_t> m_outstanding{0};
};

} // namespace fulmaryard

#endif
