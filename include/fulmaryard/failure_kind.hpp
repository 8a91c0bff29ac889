#ifndef FULMARYARD_FAILURE_KIND_HPP
#define FULMARYARD_FAILURE_KIND_HPP

#include <cstdint>
#include <string_view>

namespace fulmaryard
{

/// Reason for which an operation failed.
enum class failure_kind : std::uint8_t
{
    invalid_request,
    unauthenticated,
    forbidden,
    model_not_found,
    path_not_found,
    method_not_allowed,
    request_timeout,
    conflict,
    key_in_progress,
    key_reused,
    payload_too_large,
    rate_limited,
    overloaded,
    draining,
    no_endpoint,
    platform_unavailable,
    stale_generation,
    stale_epoch,
    endpoint_lost,
    endpoint_failed,
    deadline_exceeded,
    outcome_unknown,
    internal,
    connection_refused ///< No process listens at the address.
};

/// Returns the name used in error bodies, logs and metrics, for example "rate_limited".
std::string_view to_string(failure_kind kind) noexcept;

/// Returns the HTTP status code that a caller sees for `kind`.
unsigned http_status(failure_kind kind) noexcept;

/// Returns true if the response has `Retry-After`, which is the case for statuses 429 and 503.
bool carries_retry_after(failure_kind kind) noexcept;

} // namespace fulmaryard

#endif
