#ifndef FULMARYARD_CALL_LEDGER_HPP
#define FULMARYARD_CALL_LEDGER_HPP

#include <fulmaryard/ledger_action.hpp>
#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Identity and limits of a call ledger.
struct call_ledger_settings
{
    std::string m_process;                      ///< Id of this run of the side process.
    std::uint32_t m_partitions{64};             ///< Number of partitions that keys are hashed into.
    std::size_t m_max_partition_bytes{900'000}; ///< A platform object holds up to 1 MB.
    std::size_t m_max_stored_body_bytes{4096}; ///< A longer body is left out of the stored outcome.
    std::chrono::seconds m_retention{24 * 3600}; ///< Older records are deleted.
    std::size_t m_max_active_calls{4096}; ///< Calls in progress; more are refused as `overloaded`.
};

/// Executes non-idempotent calls at most once. The intent of a call is written to the platform by a
/// conditional update before the call is sent, and its outcome afterwards. Changes to the same
/// partition are batched into one write. Does no I/O: each member function returns the actions to
/// carry out, in order. Not thread-safe.
class call_ledger
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using wall_time = std::chrono::system_clock::time_point;
    using actions = std::vector<ledger_action>;

    explicit call_ledger(call_ledger_settings settings);
    ~call_ledger();

    call_ledger(const call_ledger&) = delete;
    call_ledger& operator=(const call_ledger&) = delete;

    /// Accepts a non-idempotent call. Its `answer_call` is among the actions returned by this or a
    /// later member function.
    actions begin(const service_call& call, time_point now, wall_time wall);

    /// Reports the result of a `read_partition`.
    actions on_read(
        std::uint32_t partition, const absl::StatusOr<platform_object>& result, time_point now,
        wall_time wall);

    /// Reports the result of a `write_partition`: the new version, `conflict`, or a failure with
    /// outcome `not_run` (not written) or `unknown` (may have been written).
    actions on_written(
        std::uint32_t partition, const absl::StatusOr<std::uint64_t>& result, time_point now,
        wall_time wall);

    /// Reports the result of a `run_call`. After a failure with outcome `not_run` the intent is
    /// removed, so that the key can be used again.
    actions on_call_ended(
        std::uint64_t ticket, const service_result& result, time_point now, wall_time wall);

    /// Answers callers whose deadline has passed, and retries failed reads and writes. A call whose
    /// intent was not durable by then is refused. To be called about every 50 ms.
    actions on_tick(time_point now, wall_time wall);

    /// Makes the ledger refuse new calls, except those that repeat a key in progress.
    void begin_drain();

    /// Number of calls in progress plus record changes that are not yet durable.
    std::size_t pending() const;

    /// Returns the state as a JSON object. Lists at most `max_keys` calls, with hashed keys.
    std::string dump(std::size_t max_keys) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Name of the platform object that holds a partition.
std::string partition_object_name(std::uint32_t partition);

/// Returns the partition of a key, from 0 to `partitions` - 1.
std::uint32_t partition_of(
    std::string_view account, std::string_view service, std::string_view key,
    std::uint32_t partitions);

} // namespace fulmaryard

#endif
