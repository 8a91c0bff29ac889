#ifndef FULMARYARD_STATUS_SOURCE_HPP
#define FULMARYARD_STATUS_SOURCE_HPP

#include <fulmaryard/system_status.hpp>

#include <string>

namespace fulmaryard
{

/// What the administration API shows of its entry. Calls come from any thread.
class status_source
{
public:
    virtual ~status_source() = default;

    virtual system_status status() const = 0;

    /// State of the process as a JSON object, without keys and key hashes.
    virtual std::string dump() const = 0;
};

} // namespace fulmaryard

#endif
