#ifndef FULMARYARD_KEY_HASHING_HPP
#define FULMARYARD_KEY_HASHING_HPP

#include <string>
#include <string_view>

namespace fulmaryard::process_tests
{

/// The hash of a secret as settings and declarative files hold it: "sha256:SALT:DIGEST", where the
/// digest is over the ASCII text of the salt's hex digits and the secret. Written apart from the
/// product's own function so that an error there is not repeated here.
std::string make_key_hash(
    std::string_view secret, std::string_view salt_hex = "00112233445566778899aabbccddeeff");

} // namespace fulmaryard::process_tests

#endif
