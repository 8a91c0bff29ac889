#ifndef FULMARYARD_TEXT_CHECKS_HPP
#define FULMARYARD_TEXT_CHECKS_HPP

#include <string_view>

namespace fulmaryard
{

// Checks for `field_rules::m_check`: each returns nullptr if the text is valid, otherwise a
// description of what is expected.

/// A name: 1 to 64 letters, digits, '.', '-' or '_', beginning with a letter or digit. Names appear
/// in paths, logs and object names.
const char* check_name(std::string_view text);
/// A name without '.', which separates the name from the secret in a bearer token.
const char* check_administrator(std::string_view text);
/// A name, or "*" for all tenants.
const char* check_tenant(std::string_view text);
const char* check_address(std::string_view text);
const char* check_key_hash(std::string_view text);
const char* check_path(std::string_view text);
const char* check_method(std::string_view text);
const char* check_log_level(std::string_view text);
const char* check_planner(std::string_view text);
const char* check_recovery(std::string_view text);

} // namespace fulmaryard

#endif
