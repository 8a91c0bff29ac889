#ifndef FULMARYARD_TEMPORARY_DIRECTORY_HPP
#define FULMARYARD_TEMPORARY_DIRECTORY_HPP

#include <string>

namespace fulmaryard::process_tests
{

/// Temporary directory for settings and logs. The destructor removes it recursively unless the
/// environment variable FULMARYARD_KEEP_LOGS is set.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();

    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    /// Returns the path of a file in the directory.
    std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

} // namespace fulmaryard::process_tests

#endif
