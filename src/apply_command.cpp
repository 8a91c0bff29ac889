#include "operator_command.hpp"

#include <fulmaryard/command.hpp>
#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/stream_id.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace fulmaryard
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

// A configuration takes seconds to reach every process; polling more often would only add load.
constexpr milliseconds poll_interval{250};
constexpr milliseconds call_timeout{5000};

milliseconds time_remaining(steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
    return std::max(left, milliseconds(0));
}

std::uint64_t member_number(const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    json::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

std::string member_text(const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? value->get_string().c_str() : "";
}

/// Sends the file, retrying until a response arrives or the deadline is near. Retries are safe
/// because they carry the same apply id.
absl::StatusOr<http_response> send_apply(
    const operator_options& options, const std::string& text, steady_clock::time_point deadline)
{
    std::string target = fmt::format(
        "/admin/apply?file={}&apply_id={}&timeout_ms={}", encode_query(options.m_arguments[0]),
        encode_query(options.m_apply_id), options.m_timeout.count());
    if (options.m_dry_run)
        target += "&dry_run=1";
    if (options.m_generation)
        target += fmt::format("&generation={}", *options.m_generation);
    for (;;)
    {
        auto response = send_to_entry(options, "POST", target, text, time_remaining(deadline));
        if (response.ok() || kind_of(response.status()) == failure_kind::invalid_request ||
            time_remaining(deadline) <= poll_interval)
            return response;
        std::this_thread::sleep_for(poll_interval);
    }
}

/// Number of instances that have a generation in force.
struct rollout_progress
{
    std::size_t m_in_force{0};
    std::size_t m_total{0};
    std::string m_missing_instances; ///< Names and states of the remaining instances.
};

rollout_progress count_in_force(const json::value& status, std::uint64_t generation)
{
    rollout_progress counted;
    const auto* object = status.if_object();
    const auto* instances = object == nullptr ? nullptr : object->if_contains("instances");
    if (instances == nullptr || !instances->is_array())
        return counted;
    for (const auto& instance : instances->get_array())
    {
        const auto* members = instance.if_object();
        if (members == nullptr)
            continue;
        ++counted.m_total;
        if (member_number(*members, "generation") >= generation)
            ++counted.m_in_force;
        else
            counted.m_missing_instances += fmt::format(
                " {} ({})", member_text(*members, "name"), member_text(*members, "state"));
    }
    return counted;
}

int wait_until_in_force(
    const operator_options& options, std::uint64_t generation, steady_clock::time_point deadline)
{
    rollout_progress last;
    for (;;)
    {
        const auto response = send_to_entry(
            options, "GET", "/admin/status", "",
            std::min(call_timeout, std::max(time_remaining(deadline), milliseconds(1))));
        if (response.ok() && response->m_status == 200)
            last = count_in_force(body_of(*response), generation);
        if (last.m_total > 0 && last.m_in_force == last.m_total)
        {
            fmt::print(
                "generation {} in force on {} of {}\n", generation, last.m_in_force, last.m_total);
            return exit_success;
        }
        if (time_remaining(deadline) <= poll_interval)
            break;
        std::this_thread::sleep_for(poll_interval);
    }
    fmt::print(
        stderr, "generation {} accepted; in force on {} of {} before the timeout; missing on:{}\n",
        generation, last.m_in_force, last.m_total, last.m_missing_instances);
    return exit_failed;
}

int run_apply(operator_options options, bool compare_only)
{
    const auto deadline = steady_clock::now() + options.m_timeout;
    options.m_dry_run = options.m_dry_run || compare_only;
    if (options.m_apply_id.empty())
        options.m_apply_id = to_string(make_stream_id());
    const auto text = read_text_file(options.m_arguments[0]);
    if (!text.ok())
    {
        fmt::print(stderr, "{}\n", message_of(text.status()));
        return exit_invalid_file;
    }
    // Validates the file locally, so that errors are reported without contacting an entry.
    if (const auto file = parse_tenant_configuration(*text, options.m_arguments[0]); !file.ok())
    {
        fmt::print(stderr, "{}\n", message_of(file.status()));
        return exit_invalid_file;
    }
    const auto response = send_apply(options, *text, deadline);
    if (!response.ok() || response->m_status != 200)
    {
        const int code =
            response.ok() ? report_failure(*response) : report_failure(response.status());
        if (!options.m_dry_run)
            fmt::print(stderr, "retry with --apply-id {}\n", options.m_apply_id);
        return code;
    }
    const auto body = body_of(*response);
    const auto* object = body.if_object();
    if (object == nullptr)
    {
        fmt::print(stderr, "the entry returned a malformed response\n");
        return exit_failed;
    }
    if (options.m_dry_run)
    {
        fmt::print("changes against generation {}:\n", member_number(*object, "generation"));
        print_lines(object->contains("difference") ? object->at("difference") : json::value());
        return exit_success;
    }
    const std::uint64_t generation = member_number(*object, "generation");
    fmt::print(
        "generation {} accepted, apply id {}\n", generation, member_text(*object, "apply_id"));
    return wait_until_in_force(options, generation, deadline);
}

} // namespace

int run_apply_command(int argc, char** argv)
{
    const command_description command{
        "apply",
        "FILE",
        "Applies a declarative file and waits until it is in force on every instance.",
        1,
        {{'w', "timeout", "SECONDS", "timeout of the whole command; default 30"},
         {'d', "dry-run", nullptr, "only show what would change"},
         {'i', "apply-id", "ID", "id of an earlier attempt; each id is applied only once"},
         {'g', "generation", "N",
          "report a conflict if the tenant's file changed after generation N"}}};
    operator_options options;
    if (const auto code = parse_operator_options(command, argc, argv, options))
        return *code;
    return run_apply(std::move(options), false);
}

int run_diff_command(int argc, char** argv)
{
    const command_description command{
        "diff", "FILE", "Shows what applying a declarative file would change.", 1, {}};
    operator_options options;
    if (const auto code = parse_operator_options(command, argc, argv, options))
        return *code;
    return run_apply(std::move(options), true);
}

} // namespace fulmaryard
