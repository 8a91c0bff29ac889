#ifndef FULMARYARD_LOG_QUERY_HPP
#define FULMARYARD_LOG_QUERY_HPP

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Returns the log lines about one request, sorted by time: the lines that contain its id, and the
/// lines without a request id about endpoints named there, from `margin` before the first line of
/// the request to `margin` after the last. Lines may have a prefix before `time=`; lines without a
/// valid time are skipped.
std::vector<std::string> find_request_lines(
    const std::vector<std::string>& lines, const std::string& request,
    std::chrono::milliseconds margin);

} // namespace fulmaryard

#endif
