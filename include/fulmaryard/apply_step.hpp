#ifndef FULMARYARD_APPLY_STEP_HPP
#define FULMARYARD_APPLY_STEP_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// The next action that `configuration_apply` requests from its driver.
struct apply_step
{
    enum class action : std::uint8_t
    {
        read,    ///< Read the object `m_object`, then call `on_read`.
        write,   ///< Write `m_value` if the version is `m_version`, then call `on_written`.
        finished ///< No action; see `configuration_apply::result`.
    };

    action m_action{action::finished};
    std::string m_object;
    std::string m_value;
    std::uint64_t m_version{0};
    bool m_needs_backoff{false}; ///< Wait for a backoff delay before the action.

    friend auto operator<=>(const apply_step&, const apply_step&) = default;
};

} // namespace fulmaryard

#endif
