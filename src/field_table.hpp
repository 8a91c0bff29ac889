#ifndef FULMARYARD_FIELD_TABLE_HPP
#define FULMARYARD_FIELD_TABLE_HPP

#include "number_format.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>
#include <type_traits>

namespace fulmaryard
{

/// Validates a text; returns nullptr if it is valid, otherwise a description of what is expected.
using text_check = const char* (*)(std::string_view text);

/// Validation rules of one field.
struct field_rules
{
    bool m_required{false};
    std::uint64_t m_min{0};
    std::uint64_t m_max{std::numeric_limits<std::uint32_t>::max()};
    text_check m_check{nullptr}; ///< Applied to a text, or to each text in a list.
    bool m_reloadable{false};    ///< A running process takes over a changed value.
    /// How a number is written. The bounds are in the unit in which it is kept.
    const number_format* m_format{&whole_number_format};
};

/// One member of an aggregate with its key in YAML and JSON.
template <typename Aggregate, typename Value>
struct field
{
    const char* m_key;
    Value Aggregate::*m_member;
    field_rules m_rules;
};

template <typename Aggregate, typename Value>
field(const char*, Value Aggregate::*, field_rules) -> field<Aggregate, Value>;

/// A `std::tuple` of `field`s; specialised for each aggregate that is read from YAML or JSON.
template <typename Aggregate>
inline constexpr std::tuple<> field_table{};

template <typename Aggregate>
inline constexpr std::size_t field_count =
    std::tuple_size_v<std::remove_cvref_t<decltype(field_table<Aggregate>)>>;

template <typename Aggregate>
concept has_field_table = field_count<Aggregate>
!= 0;

/// Calls `visit` with each field of `Aggregate`, in table order.
template <typename Aggregate, typename Visit>
void for_each_field(Visit visit)
{
    std::apply([&](const auto&... fields) { (visit(fields), ...); }, field_table<Aggregate>);
}

} // namespace fulmaryard

#endif
