#ifndef FULMARYARD_ERROR_RESPONSE_HPP
#define FULMARYARD_ERROR_RESPONSE_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/status.h>

#include <chrono>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Returns `{"error":{"message","type","code","outcome","request_id"}}`. Requires `!status.ok()`.
std::string error_body(const absl::Status& status, std::string_view request_id);

/// Returns the response for a failure, with the outcome and the request id. For the kinds in
/// `carries_retry_after` it also has `Retry-After` in whole seconds, at least 1.
http_response error_response(
    const absl::Status& status, std::string_view request_id,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(1000));

} // namespace fulmaryard

#endif
