#ifndef FULMARYARD_CONFIGURATION_CODEC_HPP
#define FULMARYARD_CONFIGURATION_CODEC_HPP

#include <fulmaryard/configuration.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace fulmaryard
{

/// Canonical JSON: fields in a fixed order, without white space; equal values have equal texts.
std::string encode_configuration(const configuration& value);

/// Reads what `encode_configuration` writes. Unknown members are ignored, so that a process of an
/// older release reads the files of a newer one. `invalid_request` for anything else.
absl::StatusOr<configuration> decode_configuration(std::string_view text);

/// The same for one tenant's file.
std::string encode_tenant_configuration(const tenant_configuration& value);
absl::StatusOr<tenant_configuration> decode_tenant_configuration(std::string_view text);

/// SHA-256 of the canonical form, in hexadecimal digits.
std::string content_hash(const tenant_configuration& value);

/// The canonical JSON of one tenant's file with every key hash replaced by "(hidden)".
std::string encode_without_secrets(const tenant_configuration& value);

} // namespace fulmaryard

#endif
