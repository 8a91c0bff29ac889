#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/watcher_election.hpp>

#include <utility>

namespace fulmaryard
{

bool shall_watch_configuration(std::string_view self, const std::vector<std::string>& live_entries)
{
    // The hash must be identical in all processes, which std::hash does not guarantee.
    const auto rank = [](std::string_view process)
    { return std::pair(sha256_hex("configuration-watcher:" + std::string(process)), process); };
    const auto own = rank(self);
    std::size_t lower = 0;
    for (const auto& process : live_entries)
    {
        if (process != self && rank(process) < own)
            ++lower;
    }
    return lower < configuration_watchers;
}

} // namespace fulmaryard
