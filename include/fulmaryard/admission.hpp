#ifndef FULMARYARD_ADMISSION_HPP
#define FULMARYARD_ADMISSION_HPP

#include <fulmaryard/client_account.hpp>

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmaryard
{

enum class queue_order : std::uint8_t
{
    fair,      ///< Weighted deficit round robin among accounts, priorities within an account.
    first_come ///< For comparison.
};

/// Bounds of admission.
struct admission_settings
{
    std::chrono::milliseconds m_first_token_target{380};
    std::size_t m_max_queued{4096};
    queue_order m_order{queue_order::fair};
    std::chrono::milliseconds m_peer_timeout{5000}; ///< Without a report, another entry is gone.
};

/// One request that asks for admission.
struct admission_request
{
    std::uint64_t m_ticket{0}; ///< Unique among the tickets in use.
    std::uint32_t m_tokens{0}; ///< Prompt words plus requested tokens.
    std::uint32_t m_priority{0};
    std::chrono::nanoseconds m_expected_wait{0}; ///< By the planner.
    bool m_stream{true}; ///< Counts as a stream and needs capacity; service calls do not.
};

/// What became of a ticket.
struct admission_decision
{
    std::uint64_t m_ticket{0};
    absl::Status m_status; ///< Ok: run it, and call `release` at its end.
    std::chrono::milliseconds m_retry_after{0};
};

/// Account limits, early refusal and a fair queue. Does no I/O. Not thread-safe.
///
/// This entry's share of a limit is half an equal part and half in proportion to the use that
/// entries report to each other, so shares sum to the limit whenever the entries' views agree.
/// While they differ, for one report interval after use moves, and up to the peer timeout after an
/// entry joins or leaves, the sum exceeds the limit by at most a factor of the number of entries.
/// A share of concurrent streams is at least 1, which adds at most one per entry.
class admission
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using decisions = std::vector<admission_decision>;

    explicit admission(admission_settings settings);
    ~admission();

    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    /// Decides now, or queues the ticket and decides it in a later call; a full queue may drop
    /// another ticket instead, which is decided here too.
    decisions
    request(const client_account& account, const admission_request& asked, time_point now);

    /// A running ticket has ended, or a queued one is withdrawn.
    decisions release(std::uint64_t ticket, time_point now);

    /// This entry's part of the streams that the endpoints can run at a time.
    decisions set_capacity(std::size_t streams, time_point now);

    /// Time from the admission of a stream to its first token, which the wait in the queue must
    /// leave free within the first-token target.
    void on_first_token(std::chrono::nanoseconds since_admission);

    /// Longest wait in the queue after which the first token is still expected in time.
    std::chrono::nanoseconds longest_wait() const;

    /// Refuses what has waited longer than `longest_wait`. Call every 50 ms or so.
    decisions on_tick(time_point now);

    /// Requests per second by account, measured here, to report to the other entries.
    std::map<std::string, double> use(time_point now);
    void on_peer_use(const std::string& entry, std::map<std::string, double> use, time_point now);

    /// This entry and those that reported recently.
    std::size_t entries(time_point now) const;
    /// This entry's part of the account's limits, in (0, 1].
    double share(const std::string& account, time_point now) const;

    std::size_t queued() const;
    std::size_t running() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
