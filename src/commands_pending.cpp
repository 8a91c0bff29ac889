#include <fulmaryard/command.hpp>
namespace fulmaryard
{
int run_side_command(int, char**)
{
    return 1;
}
int run_apply_command(int, char**)
{
    return 1;
}
int run_get_command(int, char**)
{
    return 1;
}
int run_diff_command(int, char**)
{
    return 1;
}
int run_status_command(int, char**)
{
    return 1;
}
int run_dump_command(int, char**)
{
    return 1;
}
int run_check_command(int, char**)
{
    return 1;
}
} // namespace fulmaryard
