#ifndef FULMARYARD_RENDEZVOUS_HPP
#define FULMARYARD_RENDEZVOUS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Sorts `names` by their rendezvous hash for `key`, most preferred first. Removing a name does not
/// change the relative order of the others.
std::vector<std::string> rendezvous_order(std::uint64_t key, std::vector<std::string> names);

} // namespace fulmaryard

#endif
