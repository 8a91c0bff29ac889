#ifndef FULMARYARD_OBJECT_STORE_HPP
#define FULMARYARD_OBJECT_STORE_HPP

#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace fulmaryard
{

/// Versioned objects with conditional updates. Holds the state that must survive a process restart.
///
/// Failures: `platform_unavailable`, with outcome `not_run` if the operation was not executed and
/// `unknown` if a write may have taken effect or may still take effect; `conflict` if the object
/// does not have the expected version, also because the store lost that version in a restoration.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads one object. The version is 0 if the object does not exist.
    virtual boost::asio::awaitable<absl::StatusOr<platform_object>>
    get(std::string name, std::chrono::milliseconds timeout) = 0;

    /// Like `get`, but the result may be some seconds out of date. Such a read is cheaper for the
    /// store. The default implementation calls `get`.
    virtual boost::asio::awaitable<absl::StatusOr<platform_object>>
    get_stale(std::string name, std::chrono::milliseconds timeout)
    {
        return get(std::move(name), timeout);
    }

    /// Writes an object if its current version is `version`; 0 requires that it does not exist.
    /// Returns the new version.
    virtual boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    put(std::string name, std::string value, std::uint64_t version,
        std::chrono::milliseconds timeout) = 0;
};

} // namespace fulmaryard

#endif
