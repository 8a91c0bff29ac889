#ifndef FULMARYARD_TEXT_CHECKS_HPP
#define FULMARYARD_TEXT_CHECKS_HPP

#include <string_view>

namespace fulmaryard
{

// Checks for `field_rules`: each returns what is expected, or nullptr when the text meets it.

/// Names appear in paths, logs and object names, so they are 1 to 64 of letters, digits, ".-_".
const char* check_name(std::string_view text);
/// A name without ".", which separates name and secret in a bearer token.
const char* check_administrator(std::string_view text);
/// A name, or "*" for all.
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
