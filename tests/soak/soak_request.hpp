#ifndef FULMARYARD_SOAK_REQUEST_HPP
#define FULMARYARD_SOAK_REQUEST_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmaryard::soak
{

/// One request as its caller saw it. Times count from the start of the callers.
struct soak_request
{
    enum class kind
    {
        stream,
        once, ///< May run once.
        repeatable
    };

    std::string m_id;
    kind m_kind{kind::stream};
    std::string m_key;
    std::size_t m_router{0};
    std::uint64_t m_events{0}; ///< That a stream has.
    std::chrono::milliseconds m_sent{0};
    std::chrono::milliseconds m_ended{0};
    bool m_connected{false};   ///< The request was written.
    bool m_kept{false};        ///< On a connection that had served others.
    unsigned m_status{0};      ///< 0 when no head of an answer came.
    bool m_complete{false};    ///< The answer ended as its framing says.
    std::string m_answered_id; ///< Of the call that the answer names.
    std::string m_body;

    friend auto operator<=>(const soak_request&, const soak_request&) = default;
};

} // namespace fulmaryard::soak

#endif
