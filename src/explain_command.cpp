#include <fulmaryard/command.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log_query.hpp>

#include <fmt/format.h>

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace fulmaryard
{

namespace
{

constexpr const char* usage = "usage: fulmaryard explain [--around-ms N] REQUEST FILE...\n\n"
                              "Prints the log lines of one request from the log files of "
                              "all processes in time order, together\nwith the lines about its "
                              "endpoints from N ms (default 3000) before its first line to N ms "
                              "after its last.\n";

// Long enough to show the loss of an endpoint just before the request started.
constexpr std::chrono::milliseconds default_margin{3'000};

} // namespace

int run_explain_command(int argc, char** argv)
{
    const std::array<option, 3> options{
        {{"around-ms", required_argument, nullptr, 'a'},
         {"help", no_argument, nullptr, 'h'},
         {nullptr, 0, nullptr, 0}}};
    auto margin = default_margin;
    int option_code = 0;
    optind = 1;
    while ((option_code = getopt_long(argc, argv, "a:h", options.data(), nullptr)) != -1)
    {
        if (option_code == 'h')
        {
            fmt::print("{}", usage);
            return exit_success;
        }
        const std::string text = option_code == 'a' ? optarg : "";
        std::uint32_t margin_ms = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), margin_ms);
        if (option_code != 'a' || parsed.ec != std::errc() ||
            parsed.ptr != text.data() + text.size())
        {
            fmt::print(stderr, "{}", usage);
            return exit_usage;
        }
        margin = std::chrono::milliseconds(margin_ms);
    }
    if (argc - optind < 2)
    {
        fmt::print(stderr, "{}", usage);
        return exit_usage;
    }
    const std::string request = argv[optind];
    std::vector<std::string> lines;
    for (int i = optind + 1; i < argc; ++i)
    {
        std::ifstream file(argv[i]);
        if (!file)
        {
            fmt::print(stderr, "{}: cannot open file\n", argv[i]);
            return exit_invalid_file;
        }
        for (std::string line; std::getline(file, line);)
            lines.push_back(std::move(line));
    }
    const auto found = find_request_lines(lines, request, margin);
    for (const auto& line : found)
        fmt::print("{}\n", line);
    if (found.empty())
    {
        fmt::print(stderr, "no log line found for request {}\n", request);
        return exit_failed;
    }
    return exit_success;
}

} // namespace fulmaryard
