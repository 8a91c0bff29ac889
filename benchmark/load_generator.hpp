#ifndef FULMARYARD_LOAD_GENERATOR_HPP
#define FULMARYARD_LOAD_GENERATOR_HPP

#include "load.hpp"
#include "stream_outcome.hpp"

#include <memory>
#include <vector>

namespace fulmaryard::benchmark
{

using stream_outcomes = std::vector<std::shared_ptr<const stream_outcome>>;

/// Applies the load from two threads, one of them the caller's, and blocks until all streams end.
stream_outcomes run_load(const load& applied);

} // namespace fulmaryard::benchmark

#endif
