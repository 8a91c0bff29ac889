#include "process/temporary_directory.hpp"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace fulmaryard::process_tests
{

temporary_directory::temporary_directory()
    : m_path((std::filesystem::temp_directory_path() / "fulmaryard-test-XXXXXX").string())
{
    if (mkdtemp(m_path.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory");
}

temporary_directory::~temporary_directory()
{
    std::error_code ignored;
    if (std::getenv("FULMARYARD_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_path, ignored);
}

} // namespace fulmaryard::process_tests
