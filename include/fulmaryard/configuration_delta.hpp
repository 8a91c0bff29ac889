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

/// Changes from one generation of the configuration to a later one.
struct configuration_delta
{
    std::uint64_t m_base_generation{0}; ///< Generation of the base.
    configuration m_changed;            ///< Changed and added files; later generation.
    std::vector<std::string> m_removed; ///< Tenants without a file in the later one.
    std::size_t m_tenants{0};           ///< Tenant count of the later one, a check.

    friend auto operator<=>(const configuration_delta&, const configuration_delta&) = default;
};

/// Returns the later configuration. Fails with `conflict` if `base` is not the generation that the
/// delta starts from, or if the result does not have the tenant count given in the delta.
absl::StatusOr<configuration>
apply_delta(const configuration& base, const configuration_delta& delta);

/// Encode a delta as a JSON object and decode it; `invalid_request` if the text is malformed.
std::string encode_configuration_delta(const configuration_delta& delta);
absl::StatusOr<configuration_delta> decode_configuration_delta(std::string_view text);

} // namespace fulmaryard

#endif
