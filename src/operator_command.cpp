#include "operator_command.hpp"

#include <fulmaryard/command.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>

#include <absl/strings/escaping.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Options common to all operator commands.
constexpr option_description connection_options[] = {
    {'e', "entry", "IP:PORT", "peer address of an entry"},
    {'a', "admin", "NAME", "name of the administrator"},
    {'k', "key", "SECRET", "the administrator's secret; prefer FULMARYARD_ADMIN_KEY"},
    {'h', "help", nullptr, "print this text"}};

std::vector<option_description> all_options(const command_description& command)
{
    auto options = command.m_options;
    options.insert(options.end(), std::begin(connection_options), std::end(connection_options));
    return options;
}

bool read_number(std::string_view text, std::uint64_t& number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

/// Stores one parsed option; returns false if its argument is malformed.
bool store_option(char id, const char* argument, operator_options& options)
{
    std::uint64_t number = 0;
    switch (id)
    {
    case 'e':
        options.m_entry = argument;
        return true;
    case 'a':
        options.m_administrator = argument;
        return true;
    case 'k':
        options.m_key = argument;
        return true;
    case 'i':
        options.m_apply_id = argument;
        return *argument != '\0';
    case 't':
        options.m_tenant = argument;
        return true;
    case 'g':
        if (!read_number(argument, number))
            return false;
        options.m_generation = number;
        return true;
    case 'w':
        // One day exceeds the duration of any apply, and adding it to the current time cannot
        // overflow.
        if (!read_number(argument, number) || number == 0 || number > 86'400)
            return false;
        options.m_timeout = std::chrono::seconds(number);
        return true;
    case 'd':
        options.m_dry_run = true;
        return true;
    case 'H':
        options.m_history = true;
        return true;
    case 'j':
        options.m_json = true;
        return true;
    default:
        return false;
    }
}

int usage_error(const command_description& command, std::string_view message)
{
    fmt::print(
        stderr, "fulmaryard {}: {}\n'fulmaryard {} --help' describes the command.\n",
        command.m_name, message, command.m_name);
    return exit_usage;
}

} // namespace

void print_usage(const command_description& command)
{
    fmt::print(
        "usage: fulmaryard {} [OPTIONS]{}{}\n{}\n\noptions:\n", command.m_name,
        command.m_arguments.empty() ? "" : " ", command.m_arguments, command.m_summary);
    for (const auto& option : all_options(command))
    {
        const std::string name = fmt::format(
            "--{} {}", option.m_name, option.m_argument == nullptr ? "" : option.m_argument);
        fmt::print("  {:<24} {}\n", name, option.m_help);
    }
}

std::optional<int> parse_operator_options(
    const command_description& command, int argc, char** argv, operator_options& options)
{
    std::vector<option> table;
    for (const auto& description : all_options(command))
    {
        table.push_back(
            {description.m_name,
             description.m_argument == nullptr ? no_argument : required_argument, nullptr,
             description.m_id});
    }
    table.push_back({nullptr, 0, nullptr, 0});
    if (const char* key = std::getenv("FULMARYARD_ADMIN_KEY"))
        options.m_key = key;
    optind = 0; // makes glibc's getopt_long restart its scan
    for (int id = 0; (id = getopt_long(argc, argv, "h", table.data(), nullptr)) != -1;)
    {
        if (id == 'h')
        {
            print_usage(command);
            return exit_success;
        }
        if (id == '?')
            return usage_error(command, "unknown option or missing argument");
        if (!store_option(static_cast<char>(id), optarg, options))
            return usage_error(command, fmt::format("invalid argument \"{}\"", optarg));
    }
    options.m_arguments.assign(argv + optind, argv + argc);
    if (options.m_arguments.size() != command.m_argument_count)
    {
        return usage_error(
            command, command.m_argument_count == 0
                         ? "unexpected argument"
                         : fmt::format("expected {}", command.m_arguments));
    }
    if (options.m_entry.empty())
        return usage_error(command, "expected --entry IP:PORT");
    return std::nullopt;
}

absl::StatusOr<http_response> send_to_entry(
    const operator_options& options, std::string method, std::string target, std::string body,
    std::chrono::milliseconds deadline)
{
    asio::io_context io;
    constexpr std::size_t max_response_bytes = 64 * 1024 * 1024; // fits a dump of a busy process
    http_client client(io.get_executor(), options.m_entry, 0, max_response_bytes);
    http_request request{std::move(method), std::move(target), {}, std::move(body)};
    if (!options.m_administrator.empty())
    {
        request.m_fields.push_back(
            {"Authorization", fmt::format("Bearer {}.{}", options.m_administrator, options.m_key)});
    }
    absl::StatusOr<http_response> result =
        make_failure(failure_kind::internal, "the request was not completed");
    const auto send = [&]() -> asio::awaitable<void>
    {
        result =
            co_await client.send(std::move(request), deadline, http_client::reuse::new_connection);
    };
    asio::co_spawn(io, send, asio::detached);
    io.run();
    return result;
}

int report_failure(const absl::Status& transport)
{
    fmt::print(
        stderr, "{}: {} (outcome: {})\n", to_string(kind_of(transport)), message_of(transport),
        to_string(outcome_of(transport)));
    return kind_of(transport) == failure_kind::invalid_request ? exit_usage : exit_unreachable;
}

int report_failure(const http_response& response)
{
    const auto body = body_of(response);
    const auto* object = body.if_object();
    const auto* member = object == nullptr ? nullptr : object->if_contains("error");
    const auto* error = member == nullptr ? nullptr : member->if_object();
    const auto text = [&](const char* key) -> std::string
    {
        const auto* value = error == nullptr ? nullptr : error->if_contains(key);
        return value != nullptr && value->is_string() ? value->get_string().c_str() : "unknown";
    };
    fmt::print(
        stderr, "{}: {} (status {}, outcome: {})\n", text("code"), text("message"),
        response.m_status, text("outcome"));
    if (object != nullptr && object->if_contains("difference") != nullptr)
    {
        fmt::print("changes against the configuration in force:\n");
        print_lines(object->at("difference"));
    }
    if (text("code") == to_string(failure_kind::conflict))
        return exit_conflict;
    if (text("code") == to_string(failure_kind::invalid_request))
        return exit_invalid_file;
    return response.m_status == 503 ? exit_unreachable : exit_failed;
}

json::value body_of(const http_response& response)
{
    json::error_code error;
    auto body = json::parse(response.m_body, error);
    return error ? json::value(nullptr) : body;
}

std::string encode_query(std::string_view text)
{
    std::string encoded;
    for (const char c : text)
    {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
        if (unreserved)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

void print_lines(const json::value& lines)
{
    const auto* array = lines.if_array();
    if (array == nullptr || array->empty())
    {
        fmt::print("  (nothing)\n");
        return;
    }
    for (const auto& line : *array)
        fmt::print("  {}\n", line.is_string() ? line.get_string().c_str() : "");
}

} // namespace fulmaryard
