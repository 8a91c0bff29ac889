#ifndef FULMARYARD_CONFIGURATION_DELTA_HPP
#define FULMARYARD_CONFIGURATION_DELTA_HPP

#include <fulmaryard/configuration.hpp>

#include <absl/status/statusor.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// What turns one generation of the configuration into a later one.
struct configuration_delta
{
    std::uint64_t m_from{0};            ///< Generation that it applies to.
    configuration m_changed;            ///< Its generation is the later one.
    std::vector<std::string> m_removed; ///< Tenants that have no file any more.
    std::size_t m_tenants{0};           ///< Of the later configuration, as a check.

    friend auto operator<=>(const configuration_delta&, const configuration_delta&) = default;
};

/// Returns the later configuration; `conflict` when `base` has another generation or the result
/// another number of tenants than the delta says.
absl::StatusOr<configuration>
apply_delta(const configuration& base, const configuration_delta& delta);

/// The delta as a JSON object, and back; `invalid_request` for a malformed text.
std::string encode_configuration_delta(const configuration_delta& delta);
absl::StatusOr<configuration_delta> decode_configuration_delta(std::string_view text);

} // namespace fulmaryard

#endif
