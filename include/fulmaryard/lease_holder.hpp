#ifndef FULMARYARD_LEASE_HOLDER_HPP
#define FULMARYARD_LEASE_HOLDER_HPP

#include <fulmaryard/lease.hpp>
#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fulmaryard
{

/// Asks the caller to read the lease object and pass the result to `lease_holder::on_read`.
struct read_lease
{
    /// Whether a slightly stale read is acceptable. This is safe because a write based on the read
    /// is conditional on the version that was read and fails if a newer one exists.
    bool m_allow_stale{false};

    friend bool operator==(const read_lease&, const read_lease&) = default;
};

/// Asks the caller to write the lease object conditionally and pass the result to
/// `lease_holder::on_written`.
struct write_lease
{
    lease m_value;
    std::uint64_t m_version{0}; ///< Expected current version; 0 if the object must not exist.

    friend bool operator==(const write_lease&, const write_lease&) = default;
};

using lease_action = std::variant<read_lease, write_lease>;

struct lease_holder_settings
{
    std::string m_process; ///< Id of this process, unique to one run.
    /// Validity of the lease after each renewal.
    std::chrono::milliseconds m_duration{10'000};
    /// The holder stops using the lease this long before it expires, to tolerate clock drift
    /// between processes: 1 s of 10 s allows 10%, far more than the drift of quartz clocks.
    std::chrono::milliseconds m_safety_margin{1'000};
    /// Interval between reads while another process holds the lease.
    std::chrono::milliseconds m_poll_interval{1'000};
    /// Whether these reads may be slightly stale, for platforms where stale reads are cheaper.
    bool m_allow_stale_polls{false};
};

/// State machine that acquires and renews a lease stored in a platform object. Performs no I/O:
/// returns the platform operation that the caller must run, at most one at a time. Not thread-safe.
///
/// Expiry depends only on the local monotonic clock: it is measured from *sending* the last
/// successful write. A process that was paused until after the expiry therefore sees `held` return
/// false without reading the platform object first.
class lease_holder
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit lease_holder(lease_holder_settings settings);

    /// Must be called about every 100 ms. Returns the next operation, if one is due.
    std::optional<lease_action> on_tick(time_point now);

    /// Handles the result of `read_lease`. Returns the next operation, if any.
    std::optional<lease_action>
    on_read(const absl::StatusOr<platform_object>& result, time_point now);

    /// Handles the result of `write_lease`. Returns the next operation, if any: after a conflict or
    /// a failure that leaves the outcome unknown, the object is read back.
    std::optional<lease_action>
    on_written(const absl::StatusOr<std::uint64_t>& result, time_point now);

    /// Called when the store has come back from an older copy: what this process and others wrote
    /// may be gone. The lease is given up, and nobody takes it before those that were granted
    /// earlier have expired. The result of the operation in progress is not used.
    void on_store_restored(time_point now);

    /// Whether this process holds the lease at `now` and may send orders.
    bool held(time_point now) const;

    /// Epoch of the current lease while `held` is true, otherwise of the last one held.
    std::uint64_t epoch() const { return m_epoch; }

private:
    enum class operation : std::uint8_t
    {
        none,
        read,
        write
    };

    lease_action start_read(time_point now, bool stale_allowed = false);
    lease_action start_write(const lease& value, std::uint64_t version, time_point now);
    void confirm_write(std::uint64_t version);

    lease_holder_settings m_settings;
    operation m_pending{operation::none};
    time_point m_next_read;       ///< Earliest time of the next read.
    time_point m_held_until;      ///< Valid while `m_is_holder` is true.
    time_point m_last_write_sent; ///< When the last write was returned to the caller.
    write_lease m_last_write;     ///< The last write, whose result may still be unknown.
    /// Whether a read must resolve the result of `m_last_write`.
    bool m_result_unknown{false};
    /// When the first of the writes with an unknown result was sent.
    std::optional<time_point> m_first_unknown_write_sent;
    bool m_is_holder{false}; ///< Whether the last known write is from this process.
    std::uint64_t m_epoch{0};
    std::uint64_t m_highest_epoch{0}; ///< Of any holder; a restored store may name an older one.
    std::optional<time_point> m_acquire_after; ///< After a restoration of the store.
    bool m_discard_result{false}; ///< The operation in progress began before a restoration.
    std::uint64_t m_version{0};   ///< Version of the object while `m_is_holder` is true.
    /// Whether `m_observed_version` and `m_observed_since` are valid.
    bool m_has_observed_version{false};
    /// Version last read while not holding the lease.
    std::uint64_t m_observed_version{0};
    /// When that version was first read.
    time_point m_observed_since;
};

} // namespace fulmaryard

#endif
