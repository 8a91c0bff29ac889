#ifndef FULMARYARD_INSTANCE_VIEW_HPP
#define FULMARYARD_INSTANCE_VIEW_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

struct instance_list;

/// The part of the instance list that one side process needs. The full list of a fleet at the
/// design scale is 0.5 MB.
struct instance_view
{
    std::uint64_t m_version{0};    ///< Version of the list; 0 if the answering entry has none.
    std::uint64_t m_generation{0}; ///< Configuration generation in force at the answering entry.
    bool m_leaving{false};         ///< Whether the requesting instance is listed as leaving.
    std::vector<std::string> m_entries; ///< Peer addresses of some entries that are not leaving.

    friend auto operator<=>(const instance_view&, const instance_view&) = default;
};

/// Maximum number of entries in a view; enough that at least one of them still answers after the
/// loss of a failure domain.
inline constexpr std::size_t max_view_entries = 8;

/// Builds the view for the instance at `address`. Its entries are selected by rendezvous hashing of
/// the address, which spreads side processes over the entries and keeps the selection stable when
/// the list changes.
instance_view
make_instance_view(const instance_list& list, std::string_view address, std::uint64_t generation);

/// Serializes the view as a JSON object.
std::string format_instance_view(const instance_view& view);

/// Parses the JSON object from `format_instance_view`; returns nullopt if it is malformed.
std::optional<instance_view> parse_instance_view(std::string_view text);

} // namespace fulmaryard

#endif
