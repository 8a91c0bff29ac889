#ifndef FULMARYARD_APPLY_STEP_HPP
#define FULMARYARD_APPLY_STEP_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// What `configuration_apply` asks its driver to do next.
struct apply_step
{
    enum class action : std::uint8_t
    {
        read,    ///< Read the object `m_object`; answer with `on_read`.
        write,   ///< Write `m_value` if the version is `m_version`; answer with `on_written`.
        finished ///< Nothing; see `configuration_apply::result`.
    };

    action m_action{action::finished};
    std::string m_object;
    std::string m_value;
    std::uint64_t m_version{0};
    bool m_after_failure{false}; ///< Wait a backoff delay first.

    friend auto operator<=>(const apply_step&, const apply_step&) = default;
};

} // namespace fulmaryard

#endif
