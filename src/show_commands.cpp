#include "operator_command.hpp"

#include <fulmaryard/command.hpp>

#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace fulmaryard
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds call_timeout{10'000};

/// Returns a member as text, strings without quotes; "-" if it is absent.
std::string member_text(const json::value& object, const char* key)
{
    const auto* members = object.if_object();
    const auto* value = members == nullptr ? nullptr : members->if_contains(key);
    if (value == nullptr)
        return "-";
    return value->is_string() ? value->get_string().c_str() : json::serialize(*value);
}

/// Returns an array member; empty if it is absent or not an array.
json::array member_array(const json::value& object, const char* key)
{
    const auto* members = object.if_object();
    const auto* value = members == nullptr ? nullptr : members->if_contains(key);
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

void print_status(const json::value& status)
{
    fmt::print(
        "generation {} in force on {} of {}, platform {}, {} recoveries at this entry\n\n",
        member_text(status, "generation"), member_text(status, "in_force"),
        member_text(status, "instance_count"), member_text(status, "platform"),
        member_text(status, "recoveries"));
    fmt::print(
        "{:<16} {:<6} {:<22} {:<12} {:<8} {:>10} {:>11}\n", "INSTANCE", "ROLE", "ADDRESS", "DOMAIN",
        "STATE", "GENERATION", "OUTSTANDING");
    for (const auto& instance : member_array(status, "instances"))
    {
        fmt::print(
            "{:<16} {:<6} {:<22} {:<12} {:<8} {:>10} {:>11}\n", member_text(instance, "name"),
            member_text(instance, "role"), member_text(instance, "address"),
            member_text(instance, "failure_domain"), member_text(instance, "state"),
            member_text(instance, "generation"), member_text(instance, "outstanding"));
    }
    fmt::print(
        "\n{:<16} {:<24} {:<14} {:>5} {:>8} {:>11}\n", "TENANT", "PIPELINE", "LAYERS", "LIVE",
        "LEAVING", "OUTSTANDING");
    for (const auto& pipeline : member_array(status, "pipelines"))
    {
        for (const auto& stage : member_array(pipeline, "stages"))
        {
            fmt::print(
                "{:<16} {:<24} {:<14} {:>5} {:>8} {:>11}\n", member_text(pipeline, "tenant"),
                member_text(pipeline, "name"), member_text(stage, "layers"),
                member_text(stage, "live"), member_text(stage, "leaving"),
                member_text(stage, "outstanding"));
        }
    }
}

/// Sends GET `target` and prints the response with `print`, or verbatim if `print` is nullptr.
int get_and_print(
    const operator_options& options, std::string target, void (*print)(const json::value&))
{
    const auto response = send_to_entry(options, "GET", std::move(target), "", call_timeout);
    if (!response.ok())
        return report_failure(response.status());
    if (response->m_status != 200)
        return report_failure(*response);
    if (print == nullptr)
        fmt::print("{}\n", response->m_body);
    else
        print(body_of(*response));
    return exit_success;
}

} // namespace

int run_get_command(int argc, char** argv)
{
    const command_description command{
        "get",
        "",
        "Prints the configuration in force as JSON, without key hashes.",
        0,
        {{'t', "tenant", "NAME", "limit the output to this tenant"},
         {'H', "history", nullptr, "print the most recently accepted applies instead"}}};
    operator_options options;
    if (const auto code = parse_operator_options(command, argc, argv, options))
        return *code;
    std::string target = options.m_history ? "/admin/history" : "/admin/configuration";
    if (!options.m_tenant.empty())
        target += "?tenant=" + encode_query(options.m_tenant);
    return get_and_print(options, std::move(target), nullptr);
}

int run_status_command(int argc, char** argv)
{
    const command_description command{
        "status",
        "",
        "Shows instances, pipelines and the generation in force.",
        0,
        {{'j', "json", nullptr, "print JSON"}}};
    operator_options options;
    if (const auto code = parse_operator_options(command, argc, argv, options))
        return *code;
    return get_and_print(options, "/admin/status", options.m_json ? nullptr : print_status);
}

int run_dump_command(int argc, char** argv)
{
    const command_description command{
        "dump",
        "",
        "Prints the state of an entry or side process as JSON; --entry is its peer address.",
        0,
        {}};
    operator_options options;
    if (const auto code = parse_operator_options(command, argc, argv, options))
        return *code;
    return get_and_print(options, "/dump", nullptr);
}

} // namespace fulmaryard
