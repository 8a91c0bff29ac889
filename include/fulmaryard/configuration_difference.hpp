#ifndef FULMARYARD_CONFIGURATION_DIFFERENCE_HPP
#define FULMARYARD_CONFIGURATION_DIFFERENCE_HPP

#include <fulmaryard/tenant_configuration.hpp>

#include <string>
#include <vector>

namespace fulmaryard
{

/// Lists the changes between two files, one per line: "+ accounts/NAME", "- models/NAME" or
/// "~ accounts/NAME weight: 1 -> 4". Rules have no names and are identified by their index. For
/// key hashes, a line says only that they changed and never shows the values.
std::vector<std::string>
configuration_difference(const tenant_configuration& from, const tenant_configuration& to);

} // namespace fulmaryard

#endif
