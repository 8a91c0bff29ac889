#include <fulmaryard/failure.hpp>

#include <absl/strings/cord.h>

#include <array>
#include <cstddef>
#include <string>

namespace fulmaryard
{

namespace
{

constexpr char payload_url[] = "fulmaryard/failure";

struct failure_kind_properties
{
    std::string_view m_name;
    unsigned m_http_status;
    absl::StatusCode m_code;
};

// Indexed by failure_kind.
constexpr std::array<failure_kind_properties, 24> properties{{
    {"invalid_request", 400, absl::StatusCode::kInvalidArgument},
    {"unauthenticated", 401, absl::StatusCode::kUnauthenticated},
    {"forbidden", 403, absl::StatusCode::kPermissionDenied},
    {"model_not_found", 404, absl::StatusCode::kNotFound},
    {"path_not_found", 404, absl::StatusCode::kNotFound},
    {"method_not_allowed", 405, absl::StatusCode::kInvalidArgument},
    {"request_timeout", 408, absl::StatusCode::kDeadlineExceeded},
    {"conflict", 409, absl::StatusCode::kAborted},
    {"key_in_progress", 409, absl::StatusCode::kAborted},
    {"key_reused", 422, absl::StatusCode::kInvalidArgument},
    {"payload_too_large", 413, absl::StatusCode::kInvalidArgument},
    {"rate_limited", 429, absl::StatusCode::kResourceExhausted},
    {"overloaded", 503, absl::StatusCode::kResourceExhausted},
    {"draining", 503, absl::StatusCode::kUnavailable},
    {"no_endpoint", 503, absl::StatusCode::kUnavailable},
    {"platform_unavailable", 503, absl::StatusCode::kUnavailable},
    {"stale_generation", 503, absl::StatusCode::kFailedPrecondition},
    {"stale_epoch", 409, absl::StatusCode::kFailedPrecondition},
    {"endpoint_lost", 502, absl::StatusCode::kUnavailable},
    {"endpoint_failed", 502, absl::StatusCode::kUnavailable},
    {"deadline_exceeded", 504, absl::StatusCode::kDeadlineExceeded},
    {"outcome_unknown", 504, absl::StatusCode::kUnknown},
    {"internal", 500, absl::StatusCode::kInternal},
    {"connection_refused", 502, absl::StatusCode::kUnavailable},
}};

static_assert(properties.size() == static_cast<std::size_t>(failure_kind::connection_refused) + 1);

const failure_kind_properties& properties_of(failure_kind kind) noexcept
{
    // A kind decoded from a peer's message can be out of range; it is treated as `internal`.
    const auto index = static_cast<std::size_t>(kind);
    return properties
        [index < properties.size() ? index : static_cast<std::size_t>(failure_kind::internal)];
}

} // namespace

std::string_view to_string(failure_kind kind) noexcept
{
    return properties_of(kind).m_name;
}

unsigned http_status(failure_kind kind) noexcept
{
    return properties_of(kind).m_http_status;
}

bool carries_retry_after(failure_kind kind) noexcept
{
    const unsigned status = http_status(kind);
    return status == 429 || status == 503;
}

std::string_view to_string(outcome value) noexcept
{
    switch (value)
    {
    case outcome::not_run:
        return "not-run";
    case outcome::failed:
        return "failed";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

outcome decide_outcome(dispatch_progress progress) noexcept
{
    switch (progress)
    {
    case dispatch_progress::not_sent:
    case dispatch_progress::refused:
        return outcome::not_run;
    case dispatch_progress::started:
        return outcome::failed;
    case dispatch_progress::sent:
        break;
    }
    return outcome::unknown;
}

absl::Status make_failure(failure_kind kind, std::string_view message, dispatch_progress progress)
{
    return make_failure(kind, message, decide_outcome(progress));
}

absl::Status make_failure(failure_kind kind, std::string_view message, outcome decided)
{
    absl::Status status(properties_of(kind).m_code, {message.data(), message.size()});
    // The payload is two bytes: the kind, then the outcome.
    const std::string payload{static_cast<char>(kind), static_cast<char>(decided)};
    status.SetPayload(payload_url, absl::Cord(payload));
    return status;
}

failure_kind kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(payload_url);
    if (!payload)
        return failure_kind::internal;
    return static_cast<failure_kind>(std::string(*payload)[0]);
}

outcome outcome_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(payload_url);
    if (!payload)
        return outcome::unknown;
    return static_cast<outcome>(std::string(*payload)[1]);
}

std::string_view message_of(const absl::Status& status)
{
    return {status.message().data(), status.message().size()};
}

} // namespace fulmaryard
