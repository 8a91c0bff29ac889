#ifndef FULMARYARD_JSON_FIELDS_INL_HPP
#define FULMARYARD_JSON_FIELDS_INL_HPP

#include "field_table.hpp"

#include <fulmaryard/layer_range.hpp>

#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <concepts>
#include <string>
#include <vector>

namespace fulmaryard
{

// Converts aggregates that have a field table to and from JSON objects. Members are written in
// table order.

namespace json = boost::json;

inline json::value to_json(const std::string& value)
{
    return json::string(value);
}

template <std::unsigned_integral Number>
json::value to_json(Number value)
{
    return static_cast<std::uint64_t>(value);
}

inline json::value to_json(const layer_range& value)
{
    return json::array{value.m_begin, value.m_end};
}

template <has_field_table Aggregate>
json::value to_json(const Aggregate& value);

template <typename Element>
json::value to_json(const std::vector<Element>& values)
{
    json::array array;
    array.reserve(values.size());
    for (const auto& value : values)
        array.push_back(to_json(value));
    return array;
}

template <has_field_table Aggregate>
json::value to_json(const Aggregate& value)
{
    json::object object;
    for_each_field<Aggregate>(
        [&](const auto& description)
        { object[description.m_key] = to_json(value.*description.m_member); });
    return object;
}

inline bool from_json(const json::value& source, std::string& value)
{
    const auto* text = source.if_string();
    if (text != nullptr)
        value.assign(text->data(), text->size());
    return text != nullptr;
}

template <std::unsigned_integral Number>
bool from_json(const json::value& source, Number& value)
{
    json::error_code error;
    value = source.to_number<Number>(error);
    return !error && !source.is_double();
}

inline bool from_json(const json::value& source, layer_range& value)
{
    const auto* pair = source.if_array();
    return pair != nullptr && pair->size() == 2 && from_json((*pair)[0], value.m_begin) &&
           from_json((*pair)[1], value.m_end);
}

template <has_field_table Aggregate>
bool from_json(const json::value& source, Aggregate& value);

template <typename Element>
bool from_json(const json::value& source, std::vector<Element>& values)
{
    const auto* array = source.if_array();
    if (array == nullptr)
        return false;
    values.resize(array->size());
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        if (!from_json((*array)[i], values[i]))
            return false;
    }
    return true;
}

template <has_field_table Aggregate>
bool from_json(const json::value& source, Aggregate& value)
{
    const auto* object = source.if_object();
    if (object == nullptr)
        return false;
    bool valid = true;
    for_each_field<Aggregate>(
        [&](const auto& description)
        {
            const auto* member = object->if_contains(description.m_key);
            valid = valid && member != nullptr && from_json(*member, value.*description.m_member);
        });
    return valid;
}

} // namespace fulmaryard

#endif
