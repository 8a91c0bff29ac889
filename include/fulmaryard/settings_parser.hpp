#ifndef FULMARYARD_SETTINGS_PARSER_HPP
#define FULMARYARD_SETTINGS_PARSER_HPP

#include <fulmaryard/entry_settings.hpp>
#include <fulmaryard/router_settings.hpp>
#include <fulmaryard/side_settings.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Parses process settings from a YAML file whose keys are the member names without `m_`. Fails
/// with `invalid_request` and one line "FILE:LINE: KEY: expected ..." for each error.
absl::StatusOr<entry_settings> parse_entry_settings(const std::string& path);
absl::StatusOr<router_settings> parse_router_settings(const std::string& path);

/// Copies the values that a running router takes over from `reloaded` to `settings`. Returns the
/// keys of the other values that differ, which take effect at the next start.
std::vector<std::string>
reload_router_settings(router_settings& settings, const router_settings& reloaded);
absl::StatusOr<side_settings> parse_side_settings(const std::string& path);

/// Parses process settings from YAML text; errors name `file_name`.
absl::StatusOr<entry_settings>
parse_entry_settings(std::string_view text, std::string_view file_name);
absl::StatusOr<router_settings>
parse_router_settings(std::string_view text, std::string_view file_name);
absl::StatusOr<side_settings>
parse_side_settings(std::string_view text, std::string_view file_name);

} // namespace fulmaryard

#endif
