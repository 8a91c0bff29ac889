#ifndef FULMARYARD_FAILURE_HPP
#define FULMARYARD_FAILURE_HPP

#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/outcome.hpp>

#include <absl/status/status.h>

#include <string_view>

namespace fulmaryard
{

/// Builds a status that carries `kind` and the outcome for `progress` in a payload.
absl::Status make_failure(
    failure_kind kind, std::string_view message,
    dispatch_progress progress = dispatch_progress::not_sent);

/// Builds a status from a kind and an outcome that another process has determined.
absl::Status make_failure(failure_kind kind, std::string_view message, outcome decided);

/// Returns the kind carried by `status`; `internal` for a status made elsewhere.
/// Requires `!status.ok()`.
failure_kind kind_of(const absl::Status& status);

/// Returns the outcome carried by `status`; `unknown` for a status made elsewhere, since
/// the request may have run. Requires `!status.ok()`.
outcome outcome_of(const absl::Status& status);

/// Returns the message as `std::string_view`, since `absl::string_view` is a distinct type in
/// Debian's build of Abseil.
std::string_view message_of(const absl::Status& status);

} // namespace fulmaryard

#endif
