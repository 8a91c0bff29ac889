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

/// Epoch check that a side process applies to every order to its engine. Handles one order at a
/// time, so that an order with a lower epoch never runs after one with a higher epoch, whether or
/// not the engine compares epochs. Does no I/O: each call returns the actions that the caller
/// performs. Not thread-safe.
class order_gate
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<gate_action>;

    /// While the platform is unreachable, a confirmed epoch stays valid for the lease duration less
    /// `margin`. `max_waiting` is the maximum number of queued orders.
    explicit order_gate(
        std::chrono::milliseconds margin = std::chrono::milliseconds(1000),
        std::size_t max_waiting = 16);

    /// Submits an order. Its result is an `answer_order` action with the same `ticket`, returned by
    /// this call or a later one. Refusals are `stale_epoch`, `platform_unavailable` and
    /// `overloaded`, all with outcome `not_run`.
    actions submit(std::uint64_t ticket, engine_order order, time_point now);

    /// Result of a `read_order_lease` action; version 0 means that no lease exists.
    actions on_lease_read(
        std::uint64_t ticket, const absl::StatusOr<platform_object>& result, time_point now);

    /// Result of a `send_order` action: ok when the engine accepted the order, otherwise the
    /// failure.
    actions on_engine_answer(std::uint64_t ticket, const absl::Status& result, time_point now);

    std::size_t waiting() const { return m_waiting.size(); }

    /// Serializes the state as a JSON object.
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

    absl::Status check_epoch(const absl::StatusOr<platform_object>& result, time_point now);
    void start_next(actions& todo, time_point now);
    void finish_current(const absl::Status& result, actions& todo, time_point now);

    std::chrono::milliseconds m_margin;
    std::size_t m_max_waiting;
    std::deque<waiting_order> m_waiting;
    waiting_order m_current;
    step m_step{step::idle};
    time_point m_read_started;
    std::uint64_t m_highest_epoch{0};           ///< Highest epoch read from the lease object.
    std::uint64_t m_highest_submitted_epoch{0}; ///< Highest epoch of any queued order.
    std::uint64_t m_confirmed_epoch{0};         ///< Valid without a read until `m_confirmed_until`.
    time_point m_confirmed_until;
    std::uint64_t m_accepted{0};
    std::uint64_t m_refused{0};
};

} // namespace fulmaryard

#endif
