#include <fulmaryard/command.hpp>

namespace fulmaryard
{

int run_entry_command(int, char**)
{
    return 1;
}

} // namespace fulmaryard
