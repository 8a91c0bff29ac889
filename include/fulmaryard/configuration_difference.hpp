#ifndef FULMARYARD_CONFIGURATION_DIFFERENCE_HPP
#define FULMARYARD_CONFIGURATION_DIFFERENCE_HPP

#include <fulmaryard/tenant_configuration.hpp>

#include <string>
#include <vector>

namespace fulmaryard
{

/// What changes from one file to another, a line each: "+ accounts/NAME", "- models/NAME" or
/// "~ accounts/NAME weight: 1 -> 4". Rules have no names and appear by their place. Key hashes
/// are never shown, only that they differ.
std::vector<std::string>
configuration_difference(const tenant_configuration& from, const tenant_configuration& to);

} // namespace fulmaryard

#endif
