#ifndef FULMARYARD_INSTANCE_STATUS_HPP
#define FULMARYARD_INSTANCE_STATUS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Status of one instance as seen by an entry.
struct instance_status
{
    std::string m_name;
    std::string m_role; ///< "entry" or "side".
    std::string m_address;
    std::string m_region;
    std::string m_failure_domain;
    std::string m_state;             ///< "live", "leaving" or "silent".
    std::uint64_t m_generation{0};   ///< Last reported configuration generation; 0 if none.
    std::uint32_t m_outstanding{0};  ///< Queued and running steps or calls.
    std::uint32_t m_step_time_us{0}; ///< Engine step time in microseconds; 0 if there is no engine.

    friend auto operator<=>(const instance_status&, const instance_status&) = default;
};

} // namespace fulmaryard

#endif
