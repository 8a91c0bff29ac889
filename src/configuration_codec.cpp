#include "configuration_fields.hpp"

#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <concepts>
#include <utility>

namespace fulmaryard
{

template <>
inline constexpr auto field_table<configuration> = std::tuple{
    field{
        "generation", &configuration::m_generation,
        field_rules{true, 0, std::numeric_limits<std::uint64_t>::max()}},
    field{"tenants", &configuration::m_tenants, field_rules{true}}};

namespace
{

namespace json = boost::json;

json::value to_json(const std::string& value)
{
    return json::string(value);
}

template <std::unsigned_integral Number>
json::value to_json(Number value)
{
    return static_cast<std::uint64_t>(value);
}

json::value to_json(const layer_range& value)
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

bool from_json(const json::value& source, std::string& value)
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

bool from_json(const json::value& source, layer_range& value)
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

template <typename Aggregate>
absl::StatusOr<Aggregate> decode_json(std::string_view text)
{
    json::error_code error;
    const json::value source = json::parse(json::string_view(text.data(), text.size()), error);
    Aggregate value;
    if (error || !from_json(source, value))
    {
        return make_failure(
            failure_kind::invalid_request, "expected a configuration in its canonical JSON form");
    }
    return value;
}

} // namespace

std::string encode_configuration(const configuration& value)
{
    configuration sorted = value;
    std::sort(sorted.m_tenants.begin(), sorted.m_tenants.end());
    return json::serialize(to_json(sorted));
}

absl::StatusOr<configuration> decode_configuration(std::string_view text)
{
    return decode_json<configuration>(text);
}

std::string encode_tenant_configuration(const tenant_configuration& value)
{
    return json::serialize(to_json(value));
}

absl::StatusOr<tenant_configuration> decode_tenant_configuration(std::string_view text)
{
    return decode_json<tenant_configuration>(text);
}

std::string content_hash(const tenant_configuration& value)
{
    return sha256_hex(encode_tenant_configuration(value));
}

std::string encode_without_secrets(const tenant_configuration& value)
{
    tenant_configuration shown = value;
    for (auto& account : shown.m_accounts)
        std::fill(account.m_key_hashes.begin(), account.m_key_hashes.end(), "(hidden)");
    return encode_tenant_configuration(shown);
}

} // namespace fulmaryard
