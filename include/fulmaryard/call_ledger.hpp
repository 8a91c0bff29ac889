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

/// Bounds of a call ledger.
struct call_ledger_settings
{
    std::string m_process; ///< Id of this run of the side process.
    std::uint32_t m_partitions{64};
    std::size_t m_max_partition_bytes{900'000}; ///< Objects hold up to 1 MB.
    std::size_t m_max_stored_body_bytes{4096};  ///< Longer outcomes are stored without their body.
    std::chrono::seconds m_retention{24 * 3600};
    std::size_t m_max_waiting{4096}; ///< Calls waiting for durability.
};

/// At-most-once execution of non-idempotent calls. The intent of a call is written to the platform
/// by conditional update before the call is sent, the outcome afterwards; many go into one write.
/// Does no I/O: each call returns the actions to carry out, in order. Not thread-safe.
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

    /// A non-idempotent call has arrived. It is answered by an `answer_call`, now or later.
    actions begin(const service_call& call, time_point now, wall_time wall);

    /// Answers `read_partition`.
    actions on_read(
        std::uint32_t partition, const absl::StatusOr<platform_object>& result, time_point now,
        wall_time wall);

    /// Answers `write_partition`: the new version, `conflict`, or a failure with outcome `not_run`
    /// (not written) or `unknown` (may have been written).
    actions on_written(
        std::uint32_t partition, const absl::StatusOr<std::uint64_t>& result, time_point now,
        wall_time wall);

    /// Answers `run_call`. A result that is not ok with outcome `not_run` frees the key.
    actions on_call_ended(
        std::uint64_t ticket, const service_result& result, time_point now, wall_time wall);

    /// Refuses calls whose deadline passed before their intent was durable, and retries reads and
    /// writes that failed. Call every 50 ms or so.
    actions on_tick(time_point now, wall_time wall);

    /// Refuses new calls from now on.
    void begin_drain();

    /// Calls that wait or run, and outcomes that are not yet durable.
    std::size_t pending() const;

    /// State as a JSON object; at most `max_keys` keys are listed, hashed.
    std::string dump(std::size_t max_keys) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Name of the object that holds a partition.
std::string partition_object_name(std::uint32_t partition);

/// Partition of a key among `partitions`.
std::uint32_t partition_of(
    std::string_view account, std::string_view service, std::string_view key,
    std::uint32_t partitions);

} // namespace fulmaryard

#endif
