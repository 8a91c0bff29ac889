#include "stable_hash_inl.hpp"

#include <fulmaryard/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

std::vector<std::string> rendezvous_order(std::uint64_t key, std::vector<std::string> names)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(names.size());
    for (auto& name : names)
    {
        const std::uint64_t weight = mix_bits(stable_hash(name) ^ mix_bits(key + 1));
        weighted.emplace_back(weight, std::move(name));
    }
    std::sort(weighted.rbegin(), weighted.rend());
    names.clear();
    for (auto& [weight, name] : weighted)
        names.push_back(std::move(name));
    return names;
}

} // namespace fulmaryard
