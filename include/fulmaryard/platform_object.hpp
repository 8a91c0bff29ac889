#ifndef FULMARYARD_PLATFORM_OBJECT_HPP
#define FULMARYARD_PLATFORM_OBJECT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Value and version of an object of the platform's object API. A conditional update passes the
/// version that it expects.
struct platform_object
{
    std::string m_value;
    std::uint64_t m_version{0}; ///< 0: the object does not exist. Later versions are greater.

    friend auto operator<=>(const platform_object&, const platform_object&) = default;
};

} // namespace fulmaryard

#endif
