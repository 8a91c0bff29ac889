#ifndef FULMARYARD_LISTED_INSTANCE_HPP
#define FULMARYARD_LISTED_INSTANCE_HPP

#include <compare>
#include <string>

namespace fulmaryard
{

/// One entry of the platform's instance list.
struct listed_instance
{
    std::string m_name;
    std::string m_role;         ///< "entry" or "side".
    std::string m_peer_address; ///< Peer address of the process on the instance, "IP:PORT".
    std::string m_region;
    std::string m_failure_domain;
    bool m_leaving{false};

    friend auto operator<=>(const listed_instance&, const listed_instance&) = default;
};

} // namespace fulmaryard

#endif
