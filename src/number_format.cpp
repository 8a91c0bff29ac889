#include "number_format.hpp"

#include <charconv>
#include <cmath>

namespace fulmaryard
{

namespace
{

// Largest whole number below which a double holds each one exactly.
constexpr double max_exact = 9'007'199'254'740'992;

constexpr std::string_view appended_zeros = "000";

/// Reads decimal digits with at most one point, which has a digit on each side; no sign, no
/// exponent.
std::optional<double> parse_decimal(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    const auto point = text.find('.');
    const auto whole = text.substr(0, point);
    const auto fraction = point == std::string_view::npos ? "0" : text.substr(point + 1);
    if (whole.empty() || whole.find_first_not_of(digits) != std::string_view::npos ||
        fraction.empty() || fraction.find_first_not_of(digits) != std::string_view::npos)
        return std::nullopt;
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || number > max_exact)
        return std::nullopt;
    return number;
}

} // namespace

std::optional<std::uint64_t> parse_whole_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> parse_rounded_down(std::string_view text)
{
    const auto number = parse_decimal(text);
    return number ? std::optional(static_cast<std::uint64_t>(*number)) : std::nullopt;
}

std::optional<std::uint64_t> parse_seconds(std::string_view text)
{
    const auto number = parse_decimal(text);
    // 7.3 times 1000 is slightly below 7300 in binary.
    return number ? std::optional(static_cast<std::uint64_t>(std::round(*number * 1'000)))
                  : std::nullopt;
}

std::optional<std::uint64_t> parse_milliseconds(std::string_view text)
{
    if (text.find('.') == std::string_view::npos)
        return parse_whole_number(text);
    if (!text.ends_with(appended_zeros))
        return std::nullopt;
    return parse_seconds(text.substr(0, text.size() - appended_zeros.size()));
}

} // namespace fulmaryard
