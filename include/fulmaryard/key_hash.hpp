#ifndef FULMARYARD_KEY_HASH_HPP
#define FULMARYARD_KEY_HASH_HPP

#include <string>
#include <string_view>

namespace fulmaryard
{

/// Returns "sha256:SALT_HEX:DIGEST_HEX" with the digest SHA-256(SALT_HEX + secret).
std::string make_key_hash(std::string_view salt_hex, std::string_view secret);

/// Compares in a time that does not depend on where the digests differ; false for a malformed hash.
bool matches_key_hash(std::string_view key_hash, std::string_view secret);

} // namespace fulmaryard

#endif
