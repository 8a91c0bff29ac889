#ifndef FULMARYARD_HASH_CHAIN_HPP
#define FULMARYARD_HASH_CHAIN_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard::standins
{

/// Combines two 64-bit values; the order of the arguments matters.
std::uint64_t combine(std::uint64_t left, std::uint64_t right);

/// Token id of a prompt word, 64 bits wide so that different prompts do not collide in practice.
std::uint64_t word_id(std::string_view word);

/// Splits a prompt at whitespace. An empty prompt has one position, the empty word.
std::vector<std::string> tokenise(std::string_view prompt);

/// Input of layer 0 for a token id.
std::uint64_t token_value(std::uint64_t id);

/// Value of one position after one layer. `kv` is the layer's state before the position.
std::uint64_t
layer_value(std::uint64_t value, std::uint32_t layer, std::uint32_t position, std::uint64_t kv);

/// The layer's state after a position whose output is `value`.
std::uint64_t next_kv(std::uint64_t kv, std::uint64_t value);

/// Token id sampled from the last layer's value.
std::uint64_t sampled_id(std::uint64_t value);

/// Text of a generated token.
std::string token_text(std::uint64_t id);

/// True when the token ends the answer: `value` is a multiple of `finish_modulus`. Modulus 0 means
/// that no token does.
bool ends_answer(std::uint64_t value, std::uint64_t finish_modulus);

} // namespace fulmaryard::standins

#endif
