#include <fulmaryard/failure.hpp>
#include <fulmaryard/peer_address.hpp>
#include <fulmaryard/stream_locator.hpp>

#include <fmt/format.h>

#include <charconv>

namespace fulmaryard
{

namespace
{

constexpr std::size_t max_addresses = 64;
constexpr char separator = '~';

// ':', '[' and ']' are reserved in URLs. 'G' and 'H' are not hexadecimal digits, so they cannot
// occur in an address.
constexpr std::string_view address_characters = ":[]";
constexpr std::string_view encoded_characters = "_GH";

std::string replace_characters(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    for (char& c : result)
    {
        const auto index = from.find(c);
        if (index != std::string_view::npos)
            c = to[index];
    }
    return result;
}

absl::Status malformed()
{
    return make_failure(failure_kind::invalid_request, "malformed event id");
}

} // namespace

std::string to_string(const stream_locator& locator)
{
    std::string text = to_string(locator.m_stream);
    for (const auto& address : locator.m_addresses)
    {
        text += separator;
        text += replace_characters(address, address_characters, encoded_characters);
    }
    return fmt::format("{}.{}", text, locator.m_next_index);
}

absl::StatusOr<stream_locator> parse_stream_locator(std::string_view text)
{
    stream_locator locator;
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return malformed();
    const char* const end = text.data() + text.size();
    const auto index = std::from_chars(text.data() + dot + 1, end, locator.m_next_index);
    if (index.ec != std::errc() || index.ptr != end)
        return malformed();
    text = text.substr(0, dot);
    auto next = text.find(separator);
    const auto stream = parse_stream_id(text.substr(0, next));
    if (!stream.ok())
        return malformed();
    locator.m_stream = *stream;
    while (next != std::string_view::npos)
    {
        text.remove_prefix(next + 1);
        next = text.find(separator);
        std::string address =
            replace_characters(text.substr(0, next), encoded_characters, address_characters);
        if (locator.m_addresses.size() == max_addresses || !parse_address(address).ok())
            return malformed();
        locator.m_addresses.push_back(std::move(address));
    }
    if (locator.m_addresses.empty())
        return malformed();
    return locator;
}

} // namespace fulmaryard
