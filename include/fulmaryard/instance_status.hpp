#ifndef FULMARYARD_INSTANCE_STATUS_HPP
#define FULMARYARD_INSTANCE_STATUS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// What an entry knows of one instance.
struct instance_status
{
    std::string m_name;
    std::string m_role; ///< "entry" or "side".
    std::string m_address;
    std::string m_region;
    std::string m_failure_domain;
    std::string m_state;             ///< "live", "leaving" or "silent".
    std::uint64_t m_generation{0};   ///< Last reported; 0 when none was.
    std::uint32_t m_outstanding{0};  ///< Steps or calls that wait or run.
    std::uint32_t m_step_time_us{0}; ///< Of the engine, microseconds; 0 when there is none.

    friend auto operator<=>(const instance_status&, const instance_status&) = default;
};

} // namespace fulmaryard

#endif
