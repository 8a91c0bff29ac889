#ifndef FULMARYARD_SYSTEM_STATUS_HPP
#define FULMARYARD_SYSTEM_STATUS_HPP

#include <fulmaryard/instance_status.hpp>
#include <fulmaryard/pipeline_status.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// One entry's view of the system.
struct system_status
{
    std::uint64_t m_generation{0}; ///< Configuration generation in force at this entry.
    std::string m_platform;        ///< "reachable" or "unreachable".
    std::uint64_t m_recoveries{0}; ///< Stages replaced since the entry started.
    std::vector<instance_status> m_instances;
    std::vector<pipeline_status> m_pipelines;

    friend auto operator<=>(const system_status&, const system_status&) = default;
};

} // namespace fulmaryard

#endif
