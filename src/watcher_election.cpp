#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/watcher_election.hpp>

#include <utility>

namespace fulmaryard
{

bool is_elected_watcher(std::string_view self, const std::vector<std::string>& live_entries)
{
    // The hash must be identical in all processes, which std::hash does not guarantee.
    const auto rank = [](std::string_view id)
    { return std::pair(sha256_hex("configuration-watcher:" + std::string(id)), id); };
    const auto own_rank = rank(self);
    std::size_t lower_ranked = 0;
    for (const auto& id : live_entries)
    {
        if (id != self && rank(id) < own_rank)
            ++lower_ranked;
    }
    return lower_ranked < elected_watcher_count;
}

} // namespace fulmaryard
