#include <fulmaryard/command.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace fulmaryard
{

namespace
{

struct subcommand
{
    std::string_view m_name;
    std::string_view m_summary;
    int (*m_run)(int argc, char** argv);
};

constexpr subcommand subcommands[] = {
    {"entry", "run an entry instance", run_entry_command},
    {"side", "run the side process of an endpoint", run_side_command},
    {"router", "run a router on a platform whose endpoints serve requests", run_router_command},
    {"explain", "print the log lines of one request", run_explain_command},
    {"check", "validate process settings and declarative files", run_check_command},
    {"apply", "apply a declarative file and wait until it is in force", run_apply_command},
    {"get", "print the configuration in force or its history", run_get_command},
    {"diff", "show what applying a file would change", run_diff_command},
    {"status", "show instances, pipelines and the generation in force", run_status_command},
    {"dump", "print the state of a process as JSON", run_dump_command},
};

void print_usage(std::FILE* stream)
{
    fmt::print(stream, "usage: fulmaryard COMMAND [OPTIONS]\n\ncommands:\n");
    for (const auto& command : subcommands)
        fmt::print(stream, "  {:<8} {}\n", command.m_name, command.m_summary);
    fmt::print(
        stream, "\n'fulmaryard COMMAND --help' describes a command.\n"
                "exit codes: 0 success, 1 failed, 2 usage, 3 invalid file or settings, "
                "4 conflict, 5 unreachable\n");
}

} // namespace

int run_command(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "help")
    {
        print_usage(stdout);
        return exit_success;
    }
    for (const auto& command : subcommands)
    {
        if (command.m_name == name)
            return command.m_run(argc - 1, argv + 1);
    }
    print_usage(stderr);
    return exit_usage;
}

} // namespace fulmaryard
