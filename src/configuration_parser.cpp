#include "configuration_fields.hpp"
#include "yaml_reader.hpp"

#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/failure.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace fulmaryard
{

namespace
{

/// Returns the names in one list; records an error for each duplicate.
template <typename Element>
std::set<std::string_view>
unique_names(const std::vector<Element>& elements, std::string_view list, yaml_reader& reader)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < elements.size(); ++i)
    {
        const std::string& name = elements[i].m_name;
        if (!name.empty() && !names.insert(name).second)
        {
            reader.add_error(
                fmt::format("{}[{}].name", list, i),
                fmt::format("expected a unique name, \"{}\" appears twice", name));
        }
    }
    return names;
}

void check_references(
    const std::vector<std::string>& references, const std::set<std::string_view>& names,
    const std::string& path, std::string_view what, yaml_reader& reader)
{
    for (std::size_t i = 0; i < references.size(); ++i)
    {
        if (!names.contains(references[i]))
        {
            reader.add_error(
                fmt::format("{}[{}]", path, i),
                fmt::format("expected {} of this file, \"{}\" is none", what, references[i]));
        }
    }
}

void check_stages(
    const pipeline_definition& pipeline, const model_definition& model, const std::string& path,
    yaml_reader& reader)
{
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < pipeline.m_stages.size(); ++i)
    {
        const layer_range& stage = pipeline.m_stages[i];
        if (stage.m_begin != next || stage.m_end <= stage.m_begin || stage.m_end > model.m_layers)
        {
            reader.add_error(
                fmt::format("{}.stages[{}]", path, i),
                fmt::format(
                    "expected [{}, END] with END from {} to {}: stages cover the layers in order "
                    "without gaps",
                    next, next + 1, model.m_layers));
            return;
        }
        next = stage.m_end;
    }
    if (next != model.m_layers)
    {
        reader.add_error(
            path + ".stages",
            fmt::format("expected stages up to layer {}, they end at {}", model.m_layers, next));
    }
}

void check_services(const tenant_configuration& file, yaml_reader& reader)
{
    std::set<std::string_view> paths;
    for (std::size_t i = 0; i < file.m_services.size(); ++i)
    {
        const auto& service = file.m_services[i];
        const std::string path = fmt::format("services[{}]", i);
        if (service.m_paths.empty())
            reader.add_error(path + ".paths", "expected at least one path");
        if (service.m_methods.empty())
            reader.add_error(path + ".methods", "expected at least one method");
        for (std::size_t k = 0; k < service.m_paths.size(); ++k)
        {
            if (!paths.insert(service.m_paths[k]).second)
            {
                reader.add_error(
                    fmt::format("{}.paths[{}]", path, k), "expected a path of one service only");
            }
        }
        const std::set<std::string_view> methods(
            service.m_methods.begin(), service.m_methods.end());
        check_references(
            service.m_idempotent_methods, methods, path + ".idempotent_methods",
            "a method of the service", reader);
    }
}

void check_semantics(const tenant_configuration& file, yaml_reader& reader)
{
    const auto models = unique_names(file.m_models, "models", reader);
    unique_names(file.m_pipelines, "pipelines", reader);
    const auto services = unique_names(file.m_services, "services", reader);
    const auto accounts = unique_names(file.m_accounts, "accounts", reader);
    for (std::size_t i = 0; i < file.m_pipelines.size(); ++i)
    {
        const auto& pipeline = file.m_pipelines[i];
        const std::string path = fmt::format("pipelines[{}]", i);
        const auto model = std::find_if(
            file.m_models.begin(), file.m_models.end(),
            [&](const auto& candidate) { return candidate.m_name == pipeline.m_model; });
        if (model == file.m_models.end())
        {
            reader.add_error(
                path + ".model",
                fmt::format("expected a model of this file, \"{}\" is none", pipeline.m_model));
        }
        else
            check_stages(pipeline, *model, path, reader);
    }
    check_services(file, reader);
    for (std::size_t i = 0; i < file.m_accounts.size(); ++i)
    {
        if (file.m_accounts[i].m_key_hashes.empty())
        {
            reader.add_error(
                fmt::format("accounts[{}].key_hashes", i), "expected at least one key hash");
        }
    }
    for (std::size_t i = 0; i < file.m_rules.size(); ++i)
    {
        const auto& rule = file.m_rules[i];
        const std::string path = fmt::format("rules[{}]", i);
        check_references(rule.m_accounts, accounts, path + ".accounts", "an account", reader);
        check_references(rule.m_models, models, path + ".models", "a model", reader);
        check_references(rule.m_services, services, path + ".services", "a service", reader);
    }
}

} // namespace

absl::StatusOr<tenant_configuration>
parse_tenant_configuration(std::string_view text, std::string_view file_name)
{
    yaml_reader reader{std::string(file_name)};
    tenant_configuration file;
    reader.read_document(text, file);
    // Skipped after syntax or type errors, which would only cause follow-on errors.
    if (reader.status().ok())
        check_semantics(file, reader);
    if (auto status = reader.status(); !status.ok())
        return status;
    return file;
}

absl::StatusOr<std::string> read_text_file(const std::string& path)
{
    constexpr std::streamsize max_bytes = 1'000'000;
    std::ifstream stream(path, std::ios::binary);
    std::string text(max_bytes + 1, '\0');
    stream.read(text.data(), max_bytes + 1);
    const std::streamsize size = stream.gcount();
    if (!stream.eof() || stream.bad() || size > max_bytes)
    {
        return make_failure(
            failure_kind::invalid_request,
            path + ": expected a readable file of at most 1000000 bytes");
    }
    text.resize(static_cast<std::size_t>(size));
    return text;
}

} // namespace fulmaryard
