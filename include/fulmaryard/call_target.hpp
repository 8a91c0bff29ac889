#ifndef FULMARYARD_CALL_TARGET_HPP
#define FULMARYARD_CALL_TARGET_HPP

#include <fulmaryard/path_hop.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Destination and parameters of one attempt of a call.
struct call_target
{
    std::string m_endpoint; ///< Id of the endpoint that receives it.
    std::string m_address;
    std::vector<path_hop> m_path; ///< Empty for a plain service.
    std::string m_account;
    std::chrono::milliseconds m_time_left{0};    ///< Until the deadline of the call.
    std::optional<std::uint64_t> m_resume_after; ///< Id of the last event that was received.
    std::uint32_t m_urgency{5};                  ///< Scheduling priority; 0 is the most urgent.

    friend auto operator<=>(const call_target&, const call_target&) = default;
};

} // namespace fulmaryard

#endif
