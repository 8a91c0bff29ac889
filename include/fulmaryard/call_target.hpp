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

/// Where and how one attempt of a call is sent.
struct call_target
{
    std::string m_endpoint; ///< Id of the endpoint that receives it.
    std::string m_address;
    std::vector<path_hop> m_path; ///< Empty for a plain service.
    std::string m_account;
    std::chrono::milliseconds m_time_left{0};
    std::optional<std::uint64_t> m_resume_after;
    std::uint32_t m_urgency{5}; ///< 0 is first.

    friend auto operator<=>(const call_target&, const call_target&) = default;
};

} // namespace fulmaryard

#endif
