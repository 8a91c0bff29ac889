#ifndef FULMARYARD_LAGGING_STATE_HPP
#define FULMARYARD_LAGGING_STATE_HPP

#include <compare>

namespace fulmaryard
{

/// The parts of the platform's state of which other routers know a newer version.
struct lagging_state
{
    bool m_configuration{false};
    bool m_endpoints{false};

    bool any() const { return m_configuration || m_endpoints; }

    friend auto operator<=>(const lagging_state&, const lagging_state&) = default;
};

} // namespace fulmaryard

#endif
