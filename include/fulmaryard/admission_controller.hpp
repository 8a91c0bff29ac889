#ifndef FULMARYARD_ADMISSION_CONTROLLER_HPP
#define FULMARYARD_ADMISSION_CONTROLLER_HPP

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
    /// Weighted deficit round robin across accounts; by priority, then arrival, within an account.
    fair,
    fifo ///< Order of arrival across all accounts. Baseline for tests of `fair`.
};

/// Limits that apply to all accounts.
struct admission_settings
{
    std::chrono::milliseconds m_first_token_target{380};
    std::size_t m_max_queued{4096}; ///< Requests, over all accounts.
    queue_order m_order{queue_order::fair};
    /// Another entry that has not reported for this long no longer counts as live.
    std::chrono::milliseconds m_peer_timeout{5000};
};

/// A request to be admitted, queued or refused.
struct admission_request
{
    std::uint64_t m_ticket{0}; ///< Identifies the request until it is released; unique until then.
    std::uint32_t m_tokens{0}; ///< Prompt words plus requested tokens.
    std::uint32_t m_priority{0};
    /// Estimated by the planner: sum of the waits at all stages and of the link times.
    std::chrono::nanoseconds m_expected_wait{0};
    bool m_is_stream{true}; ///< Uses stream capacity. False for service calls, which need none.
};

/// The decision about one request: admitted or refused.
struct admission_decision
{
    std::uint64_t m_ticket{0};
    absl::Status m_status; ///< If OK, run the request and call `release` when it ends.
    std::chrono::milliseconds m_retry_after{0}; ///< 0 if admitted.
};

/// Enforces account limits, refuses requests early under overload and queues the others fairly.
/// Does no I/O. Not thread-safe.
///
/// Account limits apply across all entry processes, and each entry enforces its share of them. Half
/// of a limit is split evenly and half in proportion to the usage that entries report to each
/// other, so the shares sum to the limit while all entries have the same view. Views differ for one
/// report interval after usage shifts between entries, and for up to the peer timeout after an
/// entry joins or leaves; the sum is then at most the limit times the number of entries. A share of
/// concurrent streams is at least 1, which can exceed the limit by one stream per entry.
class admission_controller
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using decisions = std::vector<admission_decision>;

    explicit admission_controller(admission_settings settings);
    ~admission_controller();

    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    /// Admits, refuses or queues a request. The decision on a queued request is returned by a later
    /// call. If the queue is full, another queued request may be refused to make room; that
    /// decision is returned as well.
    decisions
    request(const client_account& account, const admission_request& new_request, time_point now);

    /// Ends a running request or cancels a queued one. Returns decisions on requests that were
    /// queued. Ignores an unknown ticket.
    decisions release(std::uint64_t ticket, time_point now);

    /// Sets the number of streams that this entry may run concurrently, and admits queued requests
    /// up to it.
    decisions set_capacity(std::size_t streams, time_point now);

    /// Records the time from the admission of a stream to its first token. `max_queue_wait`
    /// reserves this time within the first-token target.
    void on_first_token(std::chrono::nanoseconds since_admission);

    /// Longest time in the queue after which the first token is still expected within the target.
    std::chrono::nanoseconds max_queue_wait() const;

    /// Refuses requests that have been queued for `max_queue_wait`. Call about every 50 ms.
    decisions on_tick(time_point now);

    /// Updates and returns the request rate of each account at this entry, in requests per second,
    /// to be reported to the other entries. Also removes idle accounts. The rate is measured since
    /// the previous call, so call it once per report.
    std::map<std::string, double> usage(time_point now);
    /// Replaces the last report of another entry: requests per second by account.
    void
    on_peer_usage(const std::string& entry, std::map<std::string, double> usage, time_point now);

    /// Number of live entries: this one and those that reported within the peer timeout.
    std::size_t live_entry_count(time_point now) const;
    /// This entry's share of the account's limits, as a fraction in (0, 1].
    double share(const std::string& account, time_point now) const;

    std::size_t queued() const;  ///< Queued requests.
    std::size_t running() const; ///< Running streams.

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
