#ifndef FULMARYARD_KNOWN_VERSIONS_HPP
#define FULMARYARD_KNOWN_VERSIONS_HPP

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Newest versions of the platform's state that a router knows; 0 if none.
struct known_versions
{
    std::uint64_t m_configuration{0}; ///< Version of the configuration.
    std::uint64_t m_endpoints{0};     ///< Version of the newest change of an endpoint.

    friend auto operator<=>(const known_versions&, const known_versions&) = default;
};

} // namespace fulmaryard

#endif
