#ifndef FULMARYARD_STATUS_SOURCE_HPP
#define FULMARYARD_STATUS_SOURCE_HPP

#include <fulmaryard/system_status.hpp>

#include <string>

namespace fulmaryard
{

/// Source of the entry state that the administration API returns. Called from any thread.
class status_source
{
public:
    virtual ~status_source() = default;

    virtual system_status status() const = 0;

    /// Returns the state of the process as a JSON object, without keys and key hashes.
    virtual std::string dump() const = 0;
};

} // namespace fulmaryard

#endif
