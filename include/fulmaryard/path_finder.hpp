#ifndef FULMARYARD_PATH_FINDER_HPP
#define FULMARYARD_PATH_FINDER_HPP

#include <fulmaryard/found_path.hpp>
#include <fulmaryard/path_candidate.hpp>
#include <fulmaryard/path_query.hpp>

#include <vector>

namespace fulmaryard
{

/// The path that runs every layer once and in order at the lowest cost, with room for the request
/// at each endpoint; empty when there is none. An endpoint may run a part of what it holds.
found_path find_path(const std::vector<path_candidate>& candidates, const path_query& query);

} // namespace fulmaryard

#endif
