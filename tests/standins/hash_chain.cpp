#include "hash_chain.hpp"

#include <sstream>

namespace fulmaryard::standins
{

std::uint64_t combine(std::uint64_t left, std::uint64_t right)
{
    // splitmix64 finaliser. Multiplying only `left` makes the result depend on the order.
    std::uint64_t mixed = left * 0x9e3779b97f4a7c15U + right + 0x632be59bd9b4e019U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t word_id(std::string_view word)
{
    std::uint64_t hash = 0xcbf29ce484222325U; // FNV-1a
    for (const char letter : word)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3U;
    return hash;
}

std::vector<std::string> tokenise(std::string_view prompt)
{
    std::vector<std::string> words;
    std::istringstream input{std::string(prompt)};
    for (std::string word; input >> word;)
        words.push_back(word);
    if (words.empty())
        words.emplace_back();
    return words;
}

std::uint64_t token_value(std::uint64_t id)
{
    return combine(0, id);
}

std::uint64_t
layer_value(std::uint64_t value, std::uint32_t layer, std::uint32_t position, std::uint64_t kv)
{
    return combine(combine(combine(value, layer), position), kv);
}

std::uint64_t next_kv(std::uint64_t kv, std::uint64_t value)
{
    return combine(kv, value);
}

std::uint64_t sampled_id(std::uint64_t value)
{
    return value % 50000;
}

std::string token_text(std::uint64_t id)
{
    return " w" + std::to_string(id);
}

bool ends_answer(std::uint64_t value, std::uint64_t finish_modulus)
{
    return finish_modulus != 0 && value % finish_modulus == 0;
}

} // namespace fulmaryard::standins
