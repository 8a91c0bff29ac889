#include <fulmaryard/command.hpp>
#include <fulmaryard/entry_process.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/planning_strategy.hpp>
#include <fulmaryard/settings_parser.hpp>

#include <fmt/format.h>

#include <getopt.h>

#include <array>
#include <cstdio>
#include <string>

namespace fulmaryard
{

namespace
{

constexpr const char* usage = "usage: fulmaryard entry --settings FILE\n";

} // namespace

int run_entry_command(int argc, char** argv)
{
    const std::array<option, 3> options{
        {{"settings", required_argument, nullptr, 's'},
         {"help", no_argument, nullptr, 'h'},
         {nullptr, 0, nullptr, 0}}};
    std::string path;
    int option_code = 0;
    optind = 1;
    while ((option_code = getopt_long(argc, argv, "s:h", options.data(), nullptr)) != -1)
    {
        if (option_code == 'h')
        {
            fmt::print("{}", usage);
            return exit_success;
        }
        if (option_code != 's')
        {
            fmt::print(stderr, "{}", usage);
            return exit_usage;
        }
        path = optarg;
    }
    if (path.empty() || optind != argc)
    {
        fmt::print(stderr, "{}", usage);
        return exit_usage;
    }
    auto settings = parse_entry_settings(path);
    if (!settings.ok())
    {
        fmt::print(stderr, "{}\n", message_of(settings.status()));
        return exit_invalid_file;
    }
    if (!make_planning_strategy(settings->m_planner))
    {
        fmt::print(stderr, "planner must be \"least_wait\" or \"round_robin\"\n");
        return exit_invalid_file;
    }
    set_log_level(parse_log_level(settings->m_log_level));
    set_log_process(settings->m_name);
    entry_process process(*std::move(settings));
    const absl::Status status = process.run();
    if (!status.ok())
    {
        log_event(log_level::error, "entry_failed").with("error", message_of(status));
        return exit_failed;
    }
    return exit_success;
}

} // namespace fulmaryard
