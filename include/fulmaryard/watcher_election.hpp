#ifndef FULMARYARD_WATCHER_ELECTION_HPP
#define FULMARYARD_WATCHER_ELECTION_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Number of entries that watch the platform. Two, so that updates continue when one fails.
inline constexpr std::size_t elected_watcher_count = 2;

/// Returns whether the entry `self` is elected to watch the platform: whether its id is among the
/// `elected_watcher_count` lowest by hash, out of `live_entries` and `self`. Callers pass peer
/// addresses as ids. Entries that have the same list elect the same watchers without exchanging
/// messages; if their lists differ, a few more entries may watch.
bool is_elected_watcher(std::string_view self, const std::vector<std::string>& live_entries);

} // namespace fulmaryard

#endif
