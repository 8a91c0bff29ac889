#ifndef FULMARYARD_SCENARIOS_HPP
#define FULMARYARD_SCENARIOS_HPP

#include <cstdint>

namespace fulmaryard::benchmark
{

class report;

/// Measures the ratio of saturated throughput to the engines' maximum, and the latency that the
/// router adds per hop.
void measure_throughput(report& results);

/// Measures the time from a failure to the next token, for streams that have about 500 tokens.
void measure_recovery(report& results);

/// Measures goodput at ten times the load that saturates the engines.
void measure_overload(report& results);

/// Counts lost, repeated and wrong responses during 20 s of random faults.
void measure_faults(report& results, std::uint64_t seed);

} // namespace fulmaryard::benchmark

#endif
