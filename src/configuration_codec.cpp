#include "configuration_fields.hpp"
#include "json_fields_inl.hpp"

#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
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
