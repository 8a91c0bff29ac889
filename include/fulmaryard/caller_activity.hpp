#ifndef FULMARYARD_CALLER_ACTIVITY_HPP
#define FULMARYARD_CALLER_ACTIVITY_HPP

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace fulmaryard
{

/// When the callers of connections from which a server waits for bytes last sent some.
///
/// Load pattern: callers open connections or begin requests, and leave them there. When connections
/// or memory are used up, the one that has gone longest without a byte makes room. Does no I/O. Not
/// thread-safe.
class caller_activity
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    enum class state
    {
        idle,      ///< No byte of the next request has arrived.
        incomplete ///< A request has begun.
    };

    /// Records that bytes of a connection have arrived, or that the server begins to wait for them.
    void on_bytes(std::uint64_t connection, state now_in, time_point now);

    /// The server no longer waits for bytes of this connection.
    void remove(std::uint64_t connection);

    /// The connection with an incomplete request that has gone longest without a byte, if that is
    /// `min_silence` or more.
    std::optional<std::uint64_t>
    longest_incomplete(std::chrono::milliseconds min_silence, time_point now) const;

    /// The connection that has gone longest without a byte, idle or incomplete.
    std::optional<std::uint64_t> longest() const;

private:
    struct waiting
    {
        std::uint64_t m_connection{0};
        time_point m_last_byte;
    };
    using waiting_list = std::list<waiting>; ///< By the time of the last byte.

    struct position
    {
        waiting_list* m_list{nullptr};
        waiting_list::iterator m_at;
    };

    waiting_list m_idle;
    waiting_list m_incomplete;
    std::map<std::uint64_t, position> m_positions; ///< By connection.
};

} // namespace fulmaryard

#endif
