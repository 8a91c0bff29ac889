#ifndef FULMARYARD_OPERATOR_COMMAND_HPP
#define FULMARYARD_OPERATOR_COMMAND_HPP

#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Options of the commands that send requests to an entry.
struct operator_options
{
    std::string m_entry;
    std::string m_administrator;
    std::string m_key;
    std::string m_apply_id;
    std::string m_tenant;
    std::optional<std::uint64_t> m_generation;
    std::chrono::milliseconds m_timeout{30'000};
    bool m_dry_run{false};
    bool m_history{false};
    bool m_json{false};
    std::vector<std::string> m_arguments;
};

/// One command-line option, as listed in the help text and passed to getopt_long.
struct option_description
{
    char m_id;
    const char* m_name;
    const char*
        m_argument; ///< Placeholder in the help text; nullptr if the option takes no argument.
    const char* m_help;
};

/// Name, arguments and options of a command.
struct command_description
{
    std::string_view m_name;
    std::string_view m_arguments; ///< Placeholders in the usage line, for example "FILE".
    std::string_view m_summary;
    std::size_t m_argument_count;
    std::vector<option_description> m_options; ///< In addition to the connection options.
};

/// Prints the usage line and all options of a command.
void print_usage(const command_description& command);

/// Parses the command line into `options`. Returns an exit code if the command must exit without
/// running: after --help, or after a usage error, which is printed.
std::optional<int> parse_operator_options(
    const command_description& command, int argc, char** argv, operator_options& options);

/// Sends one request with the administrator's credentials to the entry and blocks until the
/// response arrives or `deadline` has elapsed.
absl::StatusOr<http_response> send_to_entry(
    const operator_options& options, std::string method, std::string target, std::string body,
    std::chrono::milliseconds deadline);

/// Prints the reason why a request failed and returns the matching exit code.
int report_failure(const absl::Status& transport);
int report_failure(const http_response& response);

/// Parses the JSON body of a response; returns null if it is malformed.
boost::json::value body_of(const http_response& response);

/// Percent-encodes a query value.
std::string encode_query(std::string_view text);

/// Prints each string of a JSON array on an indented line of standard output.
void print_lines(const boost::json::value& lines);

} // namespace fulmaryard

#endif
