#include <fulmaryard/failure.hpp>
#include <fulmaryard/stream_id.hpp>

#include <fmt/format.h>

#include <charconv>
#include <random>

namespace fulmaryard
{

namespace
{

constexpr std::size_t digits_per_half = 16;

bool parse_half(std::string_view digits, std::uint64_t& value)
{
    const char* const end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, 16);
    return result.ec == std::errc() && result.ptr == end;
}

} // namespace

stream_id make_stream_id()
{
    thread_local std::random_device source;
    const auto random_64_bits = [] { return (std::uint64_t{source()} << 32) | source(); };
    return {random_64_bits(), random_64_bits()};
}

std::string to_string(const stream_id& id)
{
    return fmt::format("{:016x}{:016x}", id.m_high, id.m_low);
}

absl::StatusOr<stream_id> parse_stream_id(std::string_view text)
{
    stream_id id;
    if (text.size() != 2 * digits_per_half ||
        !parse_half(text.substr(0, digits_per_half), id.m_high) ||
        !parse_half(text.substr(digits_per_half), id.m_low))
        return make_failure(failure_kind::invalid_request, "a stream id has 32 hex digits");
    return id;
}

} // namespace fulmaryard
