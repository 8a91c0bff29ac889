#ifndef FULMARYARD_PROCESS_LIFECYCLE_HPP
#define FULMARYARD_PROCESS_LIFECYCLE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace fulmaryard
{

/// Where a process is in its life.
enum class lifecycle_phase : std::uint8_t
{
    starting, ///< Not ready for work yet.
    ready,
    draining, ///< Takes no new work and finishes what it holds.
    stopped   ///< Holds no work, or the drain limit has passed: the process exits.
};

/// Returns "starting", "ready", "draining" or "stopped".
std::string_view to_string(lifecycle_phase phase) noexcept;

/// Life cycle of an entry or a side process: a Boost.MSM machine. A process never returns to an
/// earlier phase; an event that does not fit the phase changes nothing. Thread-safe.
class process_lifecycle
{
public:
    /// Called with each new phase on the thread that caused it, without a lock held.
    using change_handler = std::function<void(lifecycle_phase)>;

    explicit process_lifecycle(change_handler on_change = nullptr);
    ~process_lifecycle();

    process_lifecycle(const process_lifecycle&) = delete;
    process_lifecycle& operator=(const process_lifecycle&) = delete;

    /// Starting is complete. Each function returns whether the phase changed.
    bool become_ready();

    /// The process is told to leave; from `starting` or `ready`.
    bool begin_drain();

    /// Nothing is in flight, or the drain limit has passed; from `draining`.
    bool finish_drain();

    lifecycle_phase phase() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
