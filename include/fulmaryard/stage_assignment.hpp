#ifndef FULMARYARD_STAGE_ASSIGNMENT_HPP
#define FULMARYARD_STAGE_ASSIGNMENT_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <string>

namespace fulmaryard
{

/// One stage of a plan: which side process runs which layers.
struct stage_assignment
{
    std::string m_process; ///< Process id, unique to one run of the process.
    std::string m_address; ///< Peer address, "IP:PORT".
    layer_range m_layers;

    friend auto operator<=>(const stage_assignment&, const stage_assignment&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_process, m_address, m_layers);
    }
};

} // namespace fulmaryard

#endif
