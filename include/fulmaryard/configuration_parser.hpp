#ifndef FULMARYARD_CONFIGURATION_PARSER_HPP
#define FULMARYARD_CONFIGURATION_PARSER_HPP

#include <fulmaryard/tenant_configuration.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace fulmaryard
{

/// Parses one declarative YAML file. Its keys are the member names without `m_`; a stage is a pair
/// [begin, end]. Checks that names are unique, that references resolve within the file and that
/// the stages of each pipeline cover the layers of its model in order and without gaps. Fails with
/// `invalid_request` and one line "FILE:LINE: KEY: expected ..." for each error.
absl::StatusOr<tenant_configuration>
parse_tenant_configuration(std::string_view text, std::string_view file_name);

/// Reads a whole file of at most 1 MB; fails with `invalid_request` if it cannot be read or is
/// larger.
absl::StatusOr<std::string> read_text_file(const std::string& path);

} // namespace fulmaryard

#endif
