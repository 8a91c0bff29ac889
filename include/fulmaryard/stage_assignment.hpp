#ifndef FULMARYARD_STAGE_ASSIGNMENT_HPP
#define FULMARYARD_STAGE_ASSIGNMENT_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <string>

namespace fulmaryard
{

/// Assigns the layers of one stage of a plan to a side process.
struct stage_assignment
{
    std::string m_process; ///< Process id; a restarted process has a new one.
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
