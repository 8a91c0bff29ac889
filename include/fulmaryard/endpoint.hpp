#ifndef FULMARYARD_ENDPOINT_HPP
#define FULMARYARD_ENDPOINT_HPP

#include <fulmaryard/endpoint_counters.hpp>
#include <fulmaryard/load_report.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

enum class endpoint_state : std::uint8_t
{
    live,
    leaving, ///< Gets no new work, finishes what it holds.
    silent   ///< The link is down or no load report has come yet.
};

/// Returns the name used in status and dumps: "live", "leaving" or "silent".
std::string_view to_string(endpoint_state state) noexcept;

/// One endpoint as this entry sees it.
struct endpoint
{
    std::string m_address; ///< Peer address of its side process.
    endpoint_state m_state{endpoint_state::silent};
    load_report m_report;
    std::uint32_t m_others_outstanding{0}; ///< Reported work that was not of this entry.
    std::shared_ptr<endpoint_counters> m_counters;

    /// Own current and others' lagging work.
    std::uint32_t outstanding() const
    {
        return m_counters->m_outstanding.load(std::memory_order_relaxed) + m_others_outstanding;
    }
};

} // namespace fulmaryard

#endif
