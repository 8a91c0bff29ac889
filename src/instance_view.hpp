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

/// What one side process needs of the instance list, which for the whole fleet is 0.5 MB.
struct instance_view
{
    std::uint64_t m_version{0};    ///< Of the list; 0 where the answering entry has none.
    std::uint64_t m_generation{0}; ///< Configuration generation in force at the answering entry.
    bool m_leaving{false};         ///< The list shows the instance that asks as leaving.
    std::vector<std::string> m_entries; ///< Peer addresses of some entries that are not leaving.

    friend auto operator<=>(const instance_view&, const instance_view&) = default;
};

/// Entries in a view: enough that one of them answers after the loss of a failure domain.
inline constexpr std::size_t max_view_entries = 8;

/// The view of the instance at `address`. Entries are chosen by rendezvous hash of the address, so
/// that side processes spread over them and keep them while the list changes.
instance_view
make_instance_view(const instance_list& list, std::string_view address, std::uint64_t generation);

/// The view as a JSON object, and back; none for a malformed text.
std::string format_instance_view(const instance_view& view);
std::optional<instance_view> parse_instance_view(std::string_view text);

} // namespace fulmaryard

#endif
