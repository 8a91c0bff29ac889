#ifndef FULMARYARD_CURRENT_CONFIGURATION_HPP
#define FULMARYARD_CURRENT_CONFIGURATION_HPP

#include <fulmaryard/applied_file.hpp>

#include <absl/status/statusor.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Name of the object that records the accepted configuration.
inline constexpr std::string_view current_configuration_name = "configuration/current";

/// Number of applies in the history. A retried apply is recognised by its id while it is in the
/// history: at 9,600 applies per day that is 7.5 minutes, far longer than an operator's retries.
inline constexpr std::size_t max_history = 50;

/// Value of the object `configuration/current`.
struct current_configuration
{
    std::uint64_t m_generation{0};
    std::map<std::string, std::string> m_files; ///< Tenant to content hash.
    /// Tenant to the generation that last changed its file. Detects concurrent changes of one
    /// tenant after they have left the history.
    std::map<std::string, std::uint64_t> m_changed;
    std::vector<applied_file> m_history; ///< Oldest first; the last one made this generation.

    friend auto operator<=>(const current_configuration&, const current_configuration&) = default;
};

/// JSON with the members generation, files, changed, apply_id, applied_by, applied_at, history.
std::string encode_current_configuration(const current_configuration& value);

/// Decodes the output of `encode_current_configuration`. An empty text stands for an object that
/// does not exist and gives generation 0. Fails with `internal` for any other text.
absl::StatusOr<current_configuration> decode_current_configuration(std::string_view text);

/// Returns the name of the immutable object that holds the file with this content hash.
std::string configuration_file_name(std::string_view hash);

} // namespace fulmaryard

#endif
