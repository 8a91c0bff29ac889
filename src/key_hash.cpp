#include <fulmaryard/key_hash.hpp>

#include <fmt/format.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace fulmaryard
{

namespace
{

constexpr std::string_view scheme = "sha256:";

std::string digest_hex(std::string_view salt_hex, std::string_view secret)
{
    std::string input(salt_hex);
    input += secret;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
    OPENSSL_cleanse(input.data(), input.size());
    std::string text;
    for (const unsigned char byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

} // namespace

std::string make_key_hash(std::string_view salt_hex, std::string_view secret)
{
    return fmt::format("{}{}:{}", scheme, salt_hex, digest_hex(salt_hex, secret));
}

bool matches_key_hash(std::string_view key_hash, std::string_view secret)
{
    if (key_hash.substr(0, scheme.size()) != scheme)
        return false;
    key_hash.remove_prefix(scheme.size());
    const auto colon = key_hash.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string_view expected = key_hash.substr(colon + 1);
    const std::string actual = digest_hex(key_hash.substr(0, colon), secret);
    return expected.size() == actual.size() &&
           CRYPTO_memcmp(expected.data(), actual.data(), actual.size()) == 0;
}

} // namespace fulmaryard
