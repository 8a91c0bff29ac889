#ifndef FULMARYARD_INSTANCE_LIST_HPP
#define FULMARYARD_INSTANCE_LIST_HPP

#include <fulmaryard/listed_instance.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// The platform's list of instances. It lags behind the actual state of the instances.
struct instance_list
{
    std::uint64_t m_version{0};
    std::vector<listed_instance> m_instances;

    friend auto operator<=>(const instance_list&, const instance_list&) = default;
};

} // namespace fulmaryard

#endif
