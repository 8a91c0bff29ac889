#ifndef FULMARYARD_SOAK_FAULT_HPP
#define FULMARYARD_SOAK_FAULT_HPP

#include <chrono>
#include <compare>
#include <cstddef>

namespace fulmaryard::soak
{

/// Kinds of faults that are injected into the system from outside its processes.
enum class fault_kind
{
    router_killed,   ///< SIGKILL; started again.
    router_stopped,  ///< SIGTERM; started again once it has ended.
    router_paused,   ///< SIGSTOP, later SIGCONT.
    callers_delayed, ///< Latency is added between callers and one router.
    callers_cut,     ///< Connections between callers and one router are closed and refused.
    /// Open connections between callers and one router transfer no more data, without a reset.
    callers_silenced,
    store_delayed, ///< Latency is added between one router and the store.
    store_cut,     ///< Connections between one router and the store are closed and refused.
    /// Open connections between one router and the store transfer no more data, without a reset.
    store_silenced,
    store_down, ///< The store refuses all calls.
    store_slow,
    history_dropped, ///< The store drops its change history.
    endpoint_killed, ///< Restarts without state under the same id.
    endpoint_paused, ///< Sends no events.
    endpoint_leaves, ///< Announces that it leaves, and starts again later.
    endpoints_full,  ///< All endpoints refuse calls and report that they did not run them.
    answers_lost,    ///< Plain endpoints run calls and close the connection without a response.
    key_revoked,
    key_granted,
    count
};

/// One fault of a plan.
struct fault
{
    std::chrono::milliseconds m_at{0};  ///< Since the start of the callers.
    std::chrono::milliseconds m_for{0}; ///< Duration.
    fault_kind m_kind{fault_kind::count};
    std::size_t m_target{0}; ///< Number of a router or endpoint.

    friend auto operator<=>(const fault&, const fault&) = default;
};

/// Whether the fault is planned maintenance, during which no response may be truncated.
bool is_planned(fault_kind kind);

/// Whether the fault affects one router: its process, or its connections to callers or the store.
bool touches_router(fault_kind kind);

/// Whether the fault is in the store itself and so affects all routers.
bool touches_store(fault_kind kind);

const char* to_string(fault_kind kind);

} // namespace fulmaryard::soak

#endif
