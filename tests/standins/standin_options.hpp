#ifndef FULMARYARD_STANDIN_OPTIONS_HPP
#define FULMARYARD_STANDIN_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmaryard::standins
{

/// One command line option: its long name, and the variable that takes its value. A `bool` is set
/// to true by an option without a value.
struct standin_option
{
    const char* m_name;
    std::variant<std::string*, std::uint64_t*, bool*> m_target;
};

/// Reads the command line. Returns false after a message on standard error for an unknown option or
/// a value that is not a number.
bool read_options(int count, char** values, const std::vector<standin_option>& options);

} // namespace fulmaryard::standins

#endif
