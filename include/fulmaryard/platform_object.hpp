#ifndef FULMARYARD_PLATFORM_OBJECT_HPP
#define FULMARYARD_PLATFORM_OBJECT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// A value of the object API with the version that a conditional update names.
struct platform_object
{
    std::string m_value;
    std::uint64_t m_version{0}; ///< 0: the object does not exist.

    friend auto operator<=>(const platform_object&, const platform_object&) = default;
};

} // namespace fulmaryard

#endif
