#include "ledger_partition.hpp"

#include <fulmaryard/failure.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace fulmaryard
{

namespace json = boost::json;

std::string encode_records(const ledger_records& records)
{
    json::array entries;
    entries.reserve(records.size());
    for (const auto& [key, record] : records)
    {
        json::object entry{
            {"key", key},
            {"hash", record.m_body_hash},
            {"attempt", record.m_attempt},
            {"written", record.m_written_s},
            {"deadline", record.m_deadline_s}};
        if (record.m_status != 0)
        {
            entry["status"] = record.m_status;
            entry["type"] = record.m_content_type;
            entry["body"] = record.m_body;
        }
        entries.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"records", std::move(entries)}});
}

namespace
{

std::string string_or_empty(const json::object& entry, std::string_view name)
{
    const auto* value = entry.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t integer_or_zero(const json::object& entry, std::string_view name)
{
    const auto* value = entry.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : 0;
}

} // namespace

absl::StatusOr<ledger_records> decode_records(std::string_view text)
{
    ledger_records records;
    if (text.empty())
        return records;
    const auto malformed = []
    { return make_failure(failure_kind::internal, "ledger partition is not a valid record list"); };
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    const auto* object = error ? nullptr : document.if_object();
    const auto* list = object ? object->if_contains("records") : nullptr;
    if (!list || !list->is_array())
        return malformed();
    for (const auto& item : list->get_array())
    {
        const auto* entry = item.if_object();
        if (!entry || string_or_empty(*entry, "key").empty() ||
            string_or_empty(*entry, "attempt").empty())
            return malformed();
        records[string_or_empty(*entry, "key")] = {
            string_or_empty(*entry, "hash"),
            string_or_empty(*entry, "attempt"),
            integer_or_zero(*entry, "written"),
            integer_or_zero(*entry, "deadline"),
            static_cast<std::uint32_t>(integer_or_zero(*entry, "status")),
            string_or_empty(*entry, "type"),
            string_or_empty(*entry, "body")};
    }
    return records;
}

std::string hash_parts(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
        EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const auto part : parts)
    {
        const std::uint64_t size = part.size();
        EVP_DigestUpdate(context.get(), &size, sizeof size);
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::string hex;
    for (std::size_t i = 0; i < 16; ++i)
        hex += fmt::format("{:02x}", digest[i]);
    return hex;
}

} // namespace fulmaryard
