#ifndef FULMARYARD_KEY_HASHING_HPP
#define FULMARYARD_KEY_HASHING_HPP

#include <string>
#include <string_view>

namespace fulmaryard::process_tests
{

/// Returns the hash of a secret in the format of settings and declarative files:
/// "sha256:SALT:DIGEST". The digest covers the salt's hex digits as ASCII text, followed by the
/// secret. Implemented independently of the product code so that both do not share a bug.
std::string make_key_hash(
    std::string_view secret, std::string_view salt_hex = "00112233445566778899aabbccddeeff");

} // namespace fulmaryard::process_tests

#endif
