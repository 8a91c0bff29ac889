#ifndef FULMARYARD_LOG_QUERY_HPP
#define FULMARYARD_LOG_QUERY_HPP

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Lines of a log that tell of one request, in order of their time: those that name it, and those
/// that name an endpoint of these and were written from `around` before the first of them to
/// `around` after the last. Lines may have a prefix before `time=`; others are passed over.
std::vector<std::string> lines_of_request(
    const std::vector<std::string>& lines, const std::string& request,
    std::chrono::milliseconds around);

} // namespace fulmaryard

#endif
