#include "process/key_hashing.hpp"

#include <fmt/core.h>
#include <openssl/sha.h>

#include <array>

namespace fulmaryard::process_tests
{

std::string make_key_hash(std::string_view secret, std::string_view salt_hex)
{
    const std::string text = std::string(salt_hex) + std::string(secret);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hash = fmt::format("sha256:{}:", salt_hex);
    for (const unsigned char byte : digest)
        hash += fmt::format("{:02x}", byte);
    return hash;
}

} // namespace fulmaryard::process_tests
