#ifndef FULMARYARD_STREAM_LOCATOR_HPP
#define FULMARYARD_STREAM_LOCATOR_HPP

#include <fulmaryard/stream_id.hpp>

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Names a stream and where its stages are, so that any entry can take it over. Carried in event
/// ids as `STREAM~ADDRESS~ADDRESS.INDEX`; an address is "IP_PORT", with '-' for ':' in IPv6.
struct stream_locator
{
    stream_id m_stream;
    std::vector<std::string> m_addresses; ///< Of the stages in layer order, "IP:PORT".
    std::uint32_t m_next_index{0};        ///< Tokens that the caller has received.

    friend auto operator<=>(const stream_locator&, const stream_locator&) = default;
};

/// Returns the event id; only letters, digits and "._~-" occur in it.
std::string to_string(const stream_locator& locator);

/// Reads what `to_string` writes, with at most 64 addresses; `invalid_request` otherwise.
absl::StatusOr<stream_locator> parse_stream_locator(std::string_view text);

} // namespace fulmaryard

#endif
