#ifndef FULMARYARD_ORDER_GATE_HPP
#define FULMARYARD_ORDER_GATE_HPP

#include <fulmaryard/gate_action.hpp>
#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A side process's check on every order to its engine. Handles one order at a time, so that an
/// order of a lower epoch never follows one of a higher epoch, whether or not the engine compares
/// numbers. Does no I/O: each call returns the actions to carry out. Not thread-safe.
class order_gate
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<gate_action>;

    /// `margin` shortens the time for which a confirmed epoch is relied on while the platform is
    /// unreachable; `max_waiting` bounds the queue.
    explicit order_gate(
        std::chrono::milliseconds margin = std::chrono::milliseconds(1000),
        std::size_t max_waiting = 16);

    /// An order has arrived; answered by an `answer_order` with `ticket`, now or later. Refusals:
    /// `stale_epoch`, `platform_unavailable` and `overloaded`, all `not_run`.
    actions submit(std::uint64_t ticket, engine_order order, time_point now);

    /// Answers `read_order_lease`; a version of 0 means that there is no lease.
    actions on_lease_read(
        std::uint64_t ticket, const absl::StatusOr<platform_object>& result, time_point now);

    /// Answers `send_order`: ok when the engine accepted the order, otherwise why not.
    actions on_engine_answer(std::uint64_t ticket, const absl::Status& result, time_point now);

    std::size_t waiting() const { return m_waiting.size(); }

    /// State as a JSON object.
    std::string dump(time_point now) const;

private:
    enum class step : std::uint8_t
    {
        idle,
        reading,
        sending
    };

    struct waiting_order
    {
        std::uint64_t m_ticket{0};
        engine_order m_order;
    };

    absl::Status check(const absl::StatusOr<platform_object>& result, time_point now);
    void start_next(actions& todo, time_point now);
    void finish(const absl::Status& result, actions& todo, time_point now);

    std::chrono::milliseconds m_margin;
    std::size_t m_max_waiting;
    std::deque<waiting_order> m_waiting;
    waiting_order m_current;
    step m_step{step::idle};
    time_point m_read_started;
    std::uint64_t m_highest_epoch{0};   ///< Shown by the lease object.
    std::uint64_t m_highest_claimed{0}; ///< Named by any order, confirmed or not.
    std::uint64_t m_confirmed_epoch{0}; ///< Relied on until `m_confirmed_until` without a read.
    time_point m_confirmed_until;
    std::uint64_t m_accepted{0};
    std::uint64_t m_refused{0};
};

} // namespace fulmaryard

#endif
