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
    leaving, ///< Receives no new work and finishes its current work.
    silent   ///< The link is down, or no load report has arrived yet.
};

/// Returns the name used in status and dumps: "live", "leaving" or "silent".
std::string_view to_string(endpoint_state state) noexcept;

/// This entry's view of one endpoint.
struct endpoint
{
    std::string m_address; ///< Peer address of its side process.
    endpoint_state m_state{endpoint_state::silent};
    load_report m_report;
    std::uint32_t m_others_outstanding{0}; ///< Reported work of other entries.
    std::shared_ptr<endpoint_counters> m_counters;

    /// Returns this entry's current work plus the work of other entries as last reported.
    std::uint32_t outstanding() const
    {
        return m_counters->m_outstanding.load(std::memory_order_relaxed) + m_others_outstanding;
    }
};

} // namespace fulmaryard

#endif
