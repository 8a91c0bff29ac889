#ifndef FULMARYARD_WATCHER_ELECTION_HPP
#define FULMARYARD_WATCHER_ELECTION_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Entries that watch the platform's configuration; two, so that one may fail unnoticed.
inline constexpr std::size_t configuration_watchers = 2;

/// Returns whether the process `self` is one of the `configuration_watchers` with the lowest hash
/// of their process id among `live_entries` and itself. Entries with the same list agree without
/// a message; with different lists a few more watch.
bool shall_watch_configuration(std::string_view self, const std::vector<std::string>& live_entries);

} // namespace fulmaryard

#endif
