#ifndef FULMARYARD_SCENARIOS_HPP
#define FULMARYARD_SCENARIOS_HPP

#include <cstdint>

namespace fulmaryard::benchmark
{

class report;

/// Saturated throughput over the engines' bound, and the time that the router adds per hop.
void measure_throughput(report& results);

/// Time from a failure to the next token, for streams of 500 tokens.
void measure_recovery(report& results);

/// Goodput at ten times the plateau's load.
void measure_overload(report& results);

/// Lost, repeated and wrong responses during 20 s of random faults.
void measure_faults(report& results, std::uint64_t seed);

} // namespace fulmaryard::benchmark

#endif
