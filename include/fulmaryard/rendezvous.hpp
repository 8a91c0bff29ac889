#ifndef FULMARYARD_RENDEZVOUS_HPP
#define FULMARYARD_RENDEZVOUS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Orders `names` by rendezvous hash for `key`, most preferred first. Removing a name leaves the
/// order of the others as it was.
std::vector<std::string> rendezvous_order(std::uint64_t key, std::vector<std::string> names);

} // namespace fulmaryard

#endif
