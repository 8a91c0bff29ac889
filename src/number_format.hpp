#ifndef FULMARYARD_NUMBER_FORMAT_HPP
#define FULMARYARD_NUMBER_FORMAT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmaryard
{

/// How a number is written in a file, and in which unit it is kept.
struct number_format
{
    /// Returns nullopt if the text is not such a number.
    std::optional<std::uint64_t> (*m_parse)(std::string_view text);
    std::string_view m_name; ///< For error messages.
    std::uint64_t m_unit{1}; ///< What is kept of a 1 in the file.
};

std::optional<std::uint64_t> parse_whole_number(std::string_view text);

/// A number with or without a fraction; the fraction is dropped.
std::optional<std::uint64_t> parse_rounded_down(std::string_view text);

/// A number of seconds with or without a fraction, in milliseconds.
std::optional<std::uint64_t> parse_seconds(std::string_view text);

/// A whole number of milliseconds. Templates of earlier releases appended three zeros to a number
/// of seconds, which gives "7.5000" for 7.5 s, so a fraction that ends with three zeros is read as
/// such a number of seconds.
std::optional<std::uint64_t> parse_milliseconds(std::string_view text);

inline constexpr number_format whole_number_format{parse_whole_number, "a number"};
inline constexpr number_format rounded_down_format{parse_rounded_down, "a number"};
inline constexpr number_format seconds_format{parse_seconds, "a number of seconds", 1'000};
inline constexpr number_format milliseconds_format{parse_milliseconds, "a number"};

} // namespace fulmaryard

#endif
