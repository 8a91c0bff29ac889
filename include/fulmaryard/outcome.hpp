#ifndef FULMARYARD_OUTCOME_HPP
#define FULMARYARD_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace fulmaryard
{

/// What a caller may conclude about its request from a failure.
enum class outcome : std::uint8_t
{
    not_run, ///< The request has not run and never will.
    unknown, ///< The request may have run.
    failed   ///< The request started and did not complete.
};

/// Returns the value of the `X-Fulmaryard-Outcome` header: "not-run", "unknown" or "failed".
std::string_view to_string(outcome value) noexcept;

/// Progress of a request at the time of its failure.
enum class dispatch_progress : std::uint8_t
{
    not_sent, ///< No process that could run it has received it.
    refused,  ///< Every process that received it refused it and cannot run it later.
    sent,     ///< A process received or may have received it; its further progress is unknown.
    started   ///< A process reported that the request started.
};

/// Maps progress to the outcome reported to the caller. No other code makes this decision.
outcome decide_outcome(dispatch_progress progress) noexcept;

} // namespace fulmaryard

#endif
