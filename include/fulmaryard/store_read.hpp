#ifndef FULMARYARD_STORE_READ_HPP
#define FULMARYARD_STORE_READ_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// How one read of the platform's state went, for logs and metrics.
struct store_read
{
    enum class state_kind
    {
        configuration,
        endpoints
    };
    enum class call_kind
    {
        listing, ///< Reads the newest state.
        watch    ///< Waits for changes since a revision.
    };
    enum class result
    {
        answered,
        failed,
        given_up ///< Ended by this process before the answer was complete.
    };

    state_kind m_state{state_kind::configuration};
    call_kind m_call{call_kind::listing};
    result m_result{result::answered};
    std::uint64_t m_revision{0}; ///< Revision that was known when the read began.
    std::size_t m_events{0};     ///< Objects or changes in the answer.
    std::size_t m_bytes{0};      ///< Bytes of the answer that were received.
    std::chrono::milliseconds m_first_byte_after{0}; ///< 0 if no byte was received.
    std::chrono::milliseconds m_duration{0};
    std::string m_reason; ///< Why it failed or was given up; empty if answered.
};

} // namespace fulmaryard

#endif
