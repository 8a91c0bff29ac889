#include <fulmaryard/command.hpp>

int main(int argc, char** argv)
{
    return fulmaryard::run_command(argc, argv);
}
