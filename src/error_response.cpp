#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace json = boost::json;

namespace
{

json::string_view to_json_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the `error.type` that clients of model APIs expect for an HTTP status.
std::string_view error_type(unsigned status)
{
    switch (status)
    {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status >= 500 ? "server_error" : "invalid_request_error";
    }
}

} // namespace

std::string error_body(const absl::Status& status, std::string_view request_id)
{
    const failure_kind kind = kind_of(status);
    json::object error;
    error["message"] = to_json_view(message_of(status));
    error["type"] = to_json_view(error_type(http_status(kind)));
    error["code"] = to_json_view(to_string(kind));
    error["outcome"] = to_json_view(to_string(outcome_of(status)));
    error["request_id"] = to_json_view(request_id);
    return json::serialize(json::object{{"error", std::move(error)}});
}

http_response error_response(
    const absl::Status& status, std::string_view request_id, std::chrono::milliseconds retry_after)
{
    const failure_kind kind = kind_of(status);
    http_response response;
    response.m_status = http_status(kind);
    response.m_fields = {
        {"Content-Type", "application/json"},
        {"X-Fulmaryard-Outcome", std::string(to_string(outcome_of(status)))},
        {"X-Request-Id", std::string(request_id)}};
    if (carries_retry_after(kind))
    {
        const auto seconds = std::max<std::int64_t>(1, (retry_after.count() + 999) / 1000);
        response.m_fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.m_body = error_body(status, request_id);
    return response;
}

} // namespace fulmaryard
