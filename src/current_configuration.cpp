#include "json_fields_inl.hpp"
#include "status_fields.hpp"

#include <fulmaryard/current_configuration.hpp>
#include <fulmaryard/failure.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace fulmaryard
{

namespace
{

template <typename Value>
bool read(const json::value* source, Value& value)
{
    return source != nullptr && from_json(*source, value);
}

template <typename Value>
bool read(const json::value* source, std::map<std::string, Value>& values)
{
    const auto* object = source == nullptr ? nullptr : source->if_object();
    if (object == nullptr)
        return false;
    for (const auto& member : *object)
    {
        if (!from_json(
                member.value(), values[std::string(member.key().data(), member.key().size())]))
            return false;
    }
    return true;
}

} // namespace

std::string encode_current_configuration(const current_configuration& value)
{
    json::object files;
    for (const auto& [tenant, hash] : value.m_files)
        files[tenant] = hash;
    json::object changed;
    for (const auto& [tenant, generation] : value.m_changed)
        changed[tenant] = generation;
    json::object object{{"generation", value.m_generation}, {"files", files}, {"changed", changed}};
    if (!value.m_history.empty())
    {
        const auto& last = value.m_history.back();
        object["apply_id"] = last.m_apply_id;
        object["applied_by"] = last.m_applied_by;
        object["applied_at"] = last.m_applied_at;
    }
    object["history"] = to_json(value.m_history);
    return json::serialize(object);
}

absl::StatusOr<current_configuration> decode_current_configuration(std::string_view text)
{
    current_configuration value;
    if (text.empty())
        return value;
    json::error_code error;
    const json::value source = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* object = error ? nullptr : source.if_object();
    if (object == nullptr || !read(object->if_contains("generation"), value.m_generation) ||
        !read(object->if_contains("files"), value.m_files) ||
        !read(object->if_contains("changed"), value.m_changed) ||
        !read(object->if_contains("history"), value.m_history))
    {
        return make_failure(
            failure_kind::internal,
            "object configuration/current does not hold a configuration record");
    }
    return value;
}

std::string configuration_file_name(std::string_view hash)
{
    return "configuration/files/" + std::string(hash);
}

} // namespace fulmaryard
