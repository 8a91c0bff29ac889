#include "settings_fields.hpp"
#include "yaml_reader.hpp"

#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/settings_parser.hpp>

#include <utility>

namespace fulmaryard
{

namespace
{

void check_semantics(const entry_settings& settings, yaml_reader& reader)
{
    if (!settings.m_listen.empty() && settings.m_listen == settings.m_peer_listen)
        reader.add_error("listen", "expected an address other than peer_listen");
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < settings.m_administrators.size(); ++i)
    {
        if (!names.insert(settings.m_administrators[i].m_name).second)
        {
            reader.add_error(
                "administrators[" + std::to_string(i) + "].name", "expected a unique name");
        }
    }
}

void check_semantics(const router_settings& settings, yaml_reader& reader)
{
    if (settings.m_listen == settings.m_ready_listen)
        reader.add_error("ready_listen", "expected an address other than listen");
}

void check_semantics(const side_settings& settings, yaml_reader& reader)
{
    if (settings.m_engine.empty() == settings.m_worker.empty())
    {
        reader.add_error(
            settings.m_engine.empty() ? "engine" : "worker", "expected either engine or worker");
    }
    if (!settings.m_worker.empty() && settings.m_service.empty())
        reader.add_error("service", "expected the service that the worker provides");
    if (settings.m_worker.empty() && !settings.m_service.empty())
        reader.add_error("service", "expected only together with worker");
}

template <typename Settings>
absl::StatusOr<Settings> parse_settings(std::string_view text, std::string_view file_name)
{
    yaml_reader reader{std::string(file_name)};
    Settings settings;
    reader.read_document(text, settings);
    // Skipped after syntax or type errors, which would only cause follow-on errors.
    if (reader.status().ok())
        check_semantics(settings, reader);
    if (auto status = reader.status(); !status.ok())
        return status;
    return settings;
}

template <typename Settings>
absl::StatusOr<Settings> parse_settings_file(const std::string& path)
{
    const auto text = read_text_file(path);
    if (!text.ok())
        return text.status();
    return parse_settings<Settings>(*text, path);
}

} // namespace

absl::StatusOr<entry_settings> parse_entry_settings(const std::string& path)
{
    return parse_settings_file<entry_settings>(path);
}

std::vector<std::string>
reload_router_settings(router_settings& settings, const router_settings& reloaded)
{
    std::vector<std::string> kept;
    for_each_field<router_settings>(
        [&](const auto& field)
        {
            auto& value = settings.*field.m_member;
            if (field.m_rules.m_reloadable)
                value = reloaded.*field.m_member;
            else if (value != reloaded.*field.m_member)
                kept.emplace_back(field.m_key);
        });
    return kept;
}

absl::StatusOr<router_settings> parse_router_settings(const std::string& path)
{
    return parse_settings_file<router_settings>(path);
}

absl::StatusOr<router_settings>
parse_router_settings(std::string_view text, std::string_view file_name)
{
    return parse_settings<router_settings>(text, file_name);
}

absl::StatusOr<side_settings> parse_side_settings(const std::string& path)
{
    return parse_settings_file<side_settings>(path);
}

absl::StatusOr<entry_settings>
parse_entry_settings(std::string_view text, std::string_view file_name)
{
    return parse_settings<entry_settings>(text, file_name);
}

absl::StatusOr<side_settings> parse_side_settings(std::string_view text, std::string_view file_name)
{
    return parse_settings<side_settings>(text, file_name);
}

} // namespace fulmaryard
