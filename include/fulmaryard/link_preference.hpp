#ifndef FULMARYARD_LINK_PREFERENCE_HPP
#define FULMARYARD_LINK_PREFERENCE_HPP

#include <cstddef>
#include <string>

namespace fulmaryard
{

/// Which endpoints an entry keeps links to.
struct link_preference
{
    std::string m_self; ///< Peer address of the entry; makes its choice differ from others'.
    std::string m_region;
    std::string m_failure_domain;
    std::size_t m_per_stage{0}; ///< Links to endpoints of the same layers; 0: to all.
};

} // namespace fulmaryard

#endif
