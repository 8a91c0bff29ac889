#ifndef FULMARYARD_TEMPORARY_DIRECTORY_HPP
#define FULMARYARD_TEMPORARY_DIRECTORY_HPP

#include <string>

namespace fulmaryard::process_tests
{

/// Directory for settings and logs, removed with everything in it on destruction unless the
/// environment has FULMARYARD_KEEP_LOGS.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();

    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    /// Path of a file in the directory.
    std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

} // namespace fulmaryard::process_tests

#endif
