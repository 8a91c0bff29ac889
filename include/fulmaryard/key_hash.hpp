#ifndef FULMARYARD_KEY_HASH_HPP
#define FULMARYARD_KEY_HASH_HPP

#include <string>
#include <string_view>

namespace fulmaryard
{

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// Returns "sha256:SALT_HEX:DIGEST_HEX" with a new random salt of 16 bytes. The digest is taken
/// over the ASCII text SALT_HEX followed by `secret`.
std::string make_key_hash(std::string_view secret);

/// Returns whether `key_hash` was derived from `secret`; false for a malformed hash. Compares the
/// digests in constant time.
bool verify_key(std::string_view secret, std::string_view key_hash);

/// Returns whether `key_hash` has the form "sha256:SALT_HEX:DIGEST_HEX" with a salt of 8 to 64
/// bytes and lower-case digits.
bool is_key_hash(std::string_view key_hash);

} // namespace fulmaryard

#endif
