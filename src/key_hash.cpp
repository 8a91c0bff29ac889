#include <fulmaryard/key_hash.hpp>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>

namespace fulmaryard
{

namespace
{

constexpr std::string_view scheme = "sha256:";
constexpr std::size_t digest_digits = 2 * SHA256_DIGEST_LENGTH;
constexpr std::size_t min_salt_digits = 16;
constexpr std::size_t max_salt_digits = 128;

template <std::size_t Size>
std::string to_hex(const std::array<unsigned char, Size>& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * Size);
    for (const unsigned char byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool is_hex(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(),
        [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return to_hex(digest);
}

std::string make_key_hash(std::string_view secret)
{
    std::array<unsigned char, 16> salt{};
    // Never returns a hash whose salt is not random.
    if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1)
        std::abort();
    const std::string salt_hex = to_hex(salt);
    return std::string(scheme) + salt_hex + ":" + sha256_hex(salt_hex + std::string(secret));
}

bool is_key_hash(std::string_view key_hash)
{
    if (!key_hash.starts_with(scheme))
        return false;
    const std::string_view rest = key_hash.substr(scheme.size());
    const auto colon = rest.find(':');
    if (colon == std::string_view::npos)
        return false;
    return colon >= min_salt_digits && colon <= max_salt_digits && colon % 2 == 0 &&
           is_hex(rest.substr(0, colon)) && rest.size() == colon + 1 + digest_digits &&
           is_hex(rest.substr(colon + 1));
}

bool verify_key(std::string_view secret, std::string_view key_hash)
{
    if (!is_key_hash(key_hash))
        return false;
    const std::string_view rest = key_hash.substr(scheme.size());
    const std::string_view salt = rest.substr(0, rest.find(':'));
    const std::string digest = sha256_hex(std::string(salt) + std::string(secret));
    return CRYPTO_memcmp(digest.data(), rest.data() + salt.size() + 1, digest_digits) == 0;
}

} // namespace fulmaryard
