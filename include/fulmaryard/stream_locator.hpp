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

/// Id of a stream and the addresses of its stages, which let any entry take over the stream. Sent
/// in event ids as `STREAM~ADDRESS~ADDRESS.INDEX`. An address is "IP_PORT"; an IPv6 address is
/// "GIPH_PORT", with '_' for each ':' and 'G' and 'H' for the brackets.
struct stream_locator
{
    stream_id m_stream;
    std::vector<std::string> m_addresses; ///< Stage addresses in layer order, each "IP:PORT".
    std::uint32_t m_next_index{0};        ///< Number of tokens that the caller has received.

    friend auto operator<=>(const stream_locator&, const stream_locator&) = default;
};

/// Formats the locator as an event id, which contains only letters, digits and "._~-".
std::string to_string(const stream_locator& locator);

/// Parses an event id written by `to_string`, with 1 to 64 addresses; returns `invalid_request`
/// otherwise.
absl::StatusOr<stream_locator> parse_stream_locator(std::string_view text);

} // namespace fulmaryard

#endif
