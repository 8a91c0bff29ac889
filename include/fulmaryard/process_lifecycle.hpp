#ifndef FULMARYARD_PROCESS_LIFECYCLE_HPP
#define FULMARYARD_PROCESS_LIFECYCLE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace fulmaryard
{

/// Phases of a process, in order.
enum class lifecycle_phase : std::uint8_t
{
    starting, ///< Does not accept work yet.
    ready,    ///< Accepts work.
    draining, ///< Accepts no new work and finishes the work in progress.
    stopped   ///< Has finished its work or reached the drain limit: the process exits.
};

/// Returns "starting", "ready", "draining" or "stopped".
std::string_view to_string(lifecycle_phase phase) noexcept;

/// Life cycle of an entry, side or router process, implemented as a Boost.MSM state machine. A
/// process never returns to an earlier phase; an event that is not valid in the current phase is
/// ignored. Thread-safe.
class process_lifecycle
{
public:
    /// Called with each new phase on the thread that caused the change, without a lock held.
    using change_handler = std::function<void(lifecycle_phase)>;

    explicit process_lifecycle(change_handler on_change = nullptr);
    ~process_lifecycle();

    process_lifecycle(const process_lifecycle&) = delete;
    process_lifecycle& operator=(const process_lifecycle&) = delete;

    /// Enters `ready` from `starting`. This and the next two functions return whether the phase
    /// changed.
    bool become_ready();

    /// Enters `draining` from `starting` or `ready`, when the process is asked to shut down.
    bool begin_drain();

    /// Enters `stopped` from `draining`, when no work is in progress or the drain limit has passed.
    bool finish_drain();

    lifecycle_phase phase() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
