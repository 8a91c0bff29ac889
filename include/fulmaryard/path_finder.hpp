#ifndef FULMARYARD_PATH_FINDER_HPP
#define FULMARYARD_PATH_FINDER_HPP

#include <fulmaryard/found_path.hpp>
#include <fulmaryard/path_candidate.hpp>
#include <fulmaryard/path_query.hpp>

#include <vector>

namespace fulmaryard
{

/// Returns the cheapest path that runs every layer of `query` exactly once and in order.
///
/// Each endpoint of the path has enough free memory for the request and may run only some of the
/// layers that it holds. The result has no hops when no such path exists.
///
/// In a failure domain of more than 64 candidates, only the cheapest few that hold the same layers
/// are considered, so the path may cost slightly more and a request that fits nowhere as a whole is
/// not split further.
found_path find_path(const std::vector<path_candidate>& candidates, const path_query& query);

/// Like `find_path`, but considers all candidates. The time grows with the square of their number.
found_path find_exact_path(const std::vector<path_candidate>& candidates, const path_query& query);

} // namespace fulmaryard

#endif
