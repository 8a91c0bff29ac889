#ifndef FULMARYARD_STABLE_HASH_INL_HPP
#define FULMARYARD_STABLE_HASH_INL_HPP

#include <cstdint>
#include <string_view>

namespace fulmaryard
{

/// SplitMix64 finalizer: every input bit affects all output bits.
inline std::uint64_t mix_bits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// 64-bit FNV-1a followed by mix_bits(). Yields the same value in every process, unlike absl::Hash,
/// which is seeded per process.
inline std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t value = 0xcbf29ce484222325ULL;
    for (const char c : text)
        value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix_bits(value);
}

} // namespace fulmaryard

#endif
