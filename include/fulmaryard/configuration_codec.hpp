#ifndef FULMARYARD_CONFIGURATION_CODEC_HPP
#define FULMARYARD_CONFIGURATION_CODEC_HPP

#include <fulmaryard/configuration.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace fulmaryard
{

/// Encodes as canonical JSON: fixed field order, no white space; equal values have equal texts.
std::string encode_configuration(const configuration& value);

/// Decodes the output of `encode_configuration`. Unknown members are ignored, so that an older
/// release can read the files of a newer one. Fails with `invalid_request` on any other text.
absl::StatusOr<configuration> decode_configuration(std::string_view text);

/// Encode and decode one tenant's file in the same way.
std::string encode_tenant_configuration(const tenant_configuration& value);
absl::StatusOr<tenant_configuration> decode_tenant_configuration(std::string_view text);

/// SHA-256 of the canonical JSON, in hexadecimal.
std::string content_hash(const tenant_configuration& value);

/// Encodes one tenant's file as canonical JSON with every key hash replaced by "(hidden)".
std::string encode_without_secrets(const tenant_configuration& value);

} // namespace fulmaryard

#endif
