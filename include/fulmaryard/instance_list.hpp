#ifndef FULMARYARD_INSTANCE_LIST_HPP
#define FULMARYARD_INSTANCE_LIST_HPP

#include <fulmaryard/listed_instance.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// The platform's instance list, which shows changes with a lag.
struct instance_list
{
    std::uint64_t m_version{0};
    std::vector<listed_instance> m_instances;

    friend auto operator<=>(const instance_list&, const instance_list&) = default;
};

} // namespace fulmaryard

#endif
