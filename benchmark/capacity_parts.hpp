#ifndef FULMARYARD_CAPACITY_PARTS_HPP
#define FULMARYARD_CAPACITY_PARTS_HPP

namespace fulmaryard::benchmark
{

/// Memory and processor time of idle peer links over loopback.
void measure_links();

/// Platform calls of a system of stand-ins: idle, for each configuration change, for each order
/// and for each side process that is replaced.
void measure_platform_calls();

} // namespace fulmaryard::benchmark

#endif
