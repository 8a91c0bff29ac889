#ifndef FULMARYARD_CAPACITY_PARTS_HPP
#define FULMARYARD_CAPACITY_PARTS_HPP

namespace fulmaryard::benchmark
{

/// Measures memory and CPU time of idle peer links over loopback.
void measure_links();

/// Measures the platform API calls of a system with simulated engines: when idle, and for each
/// configuration change, order and replaced side process.
void measure_platform_calls();

} // namespace fulmaryard::benchmark

#endif
