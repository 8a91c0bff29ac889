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

/// Read the lease object and call `lease_holder::on_read`.
struct read_lease
{
    /// Whether an answer that is a little old will do: a write that follows from it names the
    /// version that was read, and fails if there is a newer one.
    bool m_stale_allowed{false};

    friend bool operator==(const read_lease&, const read_lease&) = default;
};

/// Write the lease object conditionally and call `lease_holder::on_written`.
struct write_lease
{
    lease m_value;
    std::uint64_t m_version{0}; ///< The version it must still have; 0: it must not exist.

    friend bool operator==(const write_lease&, const write_lease&) = default;
};

using lease_action = std::variant<read_lease, write_lease>;

struct lease_holder_settings
{
    std::string m_process; ///< Id of this run of the process.
    std::chrono::milliseconds m_duration{10'000};
    /// The holder stops this long before its lease ends. Covers clocks that differ in rate: 1 s of
    /// 10 s allows 10%, far more than quartz clocks differ.
    std::chrono::milliseconds m_margin{1'000};
    std::chrono::milliseconds m_poll{1'000}; ///< Between reads while another process holds it.
    bool m_stale_polls{false}; ///< Whether these reads may be a little old, where that costs less.
};

/// Candidate for, or holder of, the lease on orders to engines. Does no I/O: returns what to do on
/// the platform, at most one operation at a time. Not thread-safe.
///
/// A holder trusts its own monotonic clock only: `held` is false from the moment the time measured
/// from *sending* the last successful write runs out, so a holder that was paused past its lease
/// knows that it is lost before it looks at the platform.
class lease_holder
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit lease_holder(lease_holder_settings settings);

    /// Call every 100 ms or so.
    std::optional<lease_action> on_tick(time_point now);

    /// Answers `read_lease`.
    std::optional<lease_action>
    on_read(const absl::StatusOr<platform_object>& result, time_point now);

    /// Answers `write_lease`. After a failure with outcome `unknown` the object is read back.
    std::optional<lease_action>
    on_written(const absl::StatusOr<std::uint64_t>& result, time_point now);

    /// Whether orders may be issued now.
    bool held(time_point now) const;

    /// Epoch of the lease while `held`; otherwise the last one.
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
    void accept_write(std::uint64_t version);

    lease_holder_settings m_settings;
    operation m_pending{operation::none};
    time_point m_next_read;   ///< Not before this time, unless a write is to be settled.
    time_point m_held_until;  ///< Meaningful while `m_holding`.
    time_point m_write_sent;  ///< When the last write was handed out.
    write_lease m_last_write; ///< The write that is pending or to be settled.
    bool m_unsettled{false};  ///< The result of `m_last_write` is not known.
    std::optional<time_point> m_unknown_since; ///< Sending of the first write of unknown result.
    bool m_holding{false};                     ///< A write of this process was the last one seen.
    std::uint64_t m_epoch{0};
    std::uint64_t m_version{0}; ///< Of the object while `m_holding`.
    bool m_seen{false};
    std::uint64_t m_seen_version{
        0}; ///< Last version of another holder, and when it was first seen.
    time_point m_seen_since;
};

} // namespace fulmaryard

#endif
