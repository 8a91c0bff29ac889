#ifndef FULMARYARD_COMMAND_HPP
#define FULMARYARD_COMMAND_HPP

namespace fulmaryard
{

/// Exit codes of the binary.
enum exit_code : int
{
    exit_success = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid_file = 3,
    exit_conflict = 4,
    exit_unreachable = 5
};

/// Runs the subcommand named in `argv[1]` and returns its exit code.
int run_command(int argc, char** argv);

/// Runs `fulmaryard entry`; `argv[0]` is the name of the subcommand. The functions below run the
/// other subcommands in the same way.
int run_entry_command(int argc, char** argv);
int run_router_command(int argc, char** argv);
int run_explain_command(int argc, char** argv);
int run_side_command(int argc, char** argv);
int run_apply_command(int argc, char** argv);
int run_get_command(int argc, char** argv);
int run_diff_command(int argc, char** argv);
int run_status_command(int argc, char** argv);
int run_dump_command(int argc, char** argv);
int run_check_command(int argc, char** argv);

} // namespace fulmaryard

#endif
