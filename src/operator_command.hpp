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

/// Options of the commands that talk to an entry.
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

/// One option in the help text and for getopt_long.
struct option_description
{
    char m_id;
    const char* m_name;
    const char* m_argument; ///< nullptr when it takes none.
    const char* m_help;
};

/// What a command accepts.
struct command_description
{
    std::string_view m_name;
    std::string_view m_arguments; ///< In the usage line, for example "FILE".
    std::string_view m_summary;
    std::size_t m_argument_count;
    std::vector<option_description> m_options; ///< Besides those for the connection.
};

/// Prints the usage line and all options of a command.
void print_usage(const command_description& command);

/// Reads the command line into `options`. Returns the exit code when the command shall end at once:
/// after --help, or after a usage error, which it has printed.
std::optional<int> parse_operator_options(
    const command_description& command, int argc, char** argv, operator_options& options);

/// Sends one request to the entry, with the administrator's credentials, and waits for the answer.
absl::StatusOr<http_response> send_to_entry(
    const operator_options& options, std::string method, std::string target, std::string body,
    std::chrono::milliseconds deadline);

/// Prints why a request failed and returns the exit code for it.
int report_failure(const absl::Status& transport);
int report_failure(const http_response& response);

/// Returns the JSON body of a response, null when it is malformed.
boost::json::value body_of(const http_response& response);

/// Percent-encodes a query value.
std::string encode_query(std::string_view text);

/// Prints the lines of an array of texts to standard output, each indented.
void print_lines(const boost::json::value& lines);

} // namespace fulmaryard

#endif
