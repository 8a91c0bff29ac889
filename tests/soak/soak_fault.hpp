#ifndef FULMARYARD_SOAK_FAULT_HPP
#define FULMARYARD_SOAK_FAULT_HPP

#include <chrono>
#include <compare>
#include <cstddef>

namespace fulmaryard::soak
{

/// What is done to a system from outside.
enum class fault_kind
{
    router_killed,    ///< SIGKILL; started again.
    router_stopped,   ///< SIGTERM; started again once it has ended.
    router_paused,    ///< SIGSTOP, later SIGCONT.
    callers_delayed,  ///< Between callers and one router.
    callers_cut,      ///< Likewise: connections closed and refused.
    callers_silenced, ///< Likewise: open connections carry nothing more, without a reset.
    store_delayed,    ///< Between one router and the store.
    store_cut,
    store_silenced,
    store_down, ///< The store refuses all calls.
    store_slow,
    history_dropped, ///< The store forgets its past changes.
    endpoint_killed, ///< Starts again, empty, under its old id.
    endpoint_paused, ///< Sends no events.
    endpoint_leaves, ///< Announces it, and starts again later.
    endpoints_full,  ///< All endpoints refuse calls as not run.
    answers_lost,    ///< Plain endpoints run calls and close without an answer.
    key_revoked,
    key_granted,
    count
};

/// One fault of a plan.
struct fault
{
    std::chrono::milliseconds m_at{0};  ///< Since the start of the callers.
    std::chrono::milliseconds m_for{0}; ///< Until it ends.
    fault_kind m_kind{fault_kind::count};
    std::size_t m_target{0}; ///< Number of a router or endpoint.

    friend auto operator<=>(const fault&, const fault&) = default;
};

/// Whether the fault is planned work, around which no answer may be cut.
bool planned(fault_kind kind);

/// Whether the fault keeps a router from the store or from its callers.
bool touches_router(fault_kind kind);

/// Whether the fault is in the store itself, for all routers.
bool touches_store(fault_kind kind);

const char* to_string(fault_kind kind);

} // namespace fulmaryard::soak

#endif
