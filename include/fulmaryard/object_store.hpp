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

/// Objects with versions and conditional updates, where what must outlive a process lies.
///
/// Failures: `platform_unavailable` with outcome `not_run` where nothing was done, and `unknown`
/// where a write may have taken effect or may still do so; `conflict` for another version.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads one object; version 0 when it does not exist.
    virtual boost::asio::awaitable<absl::StatusOr<platform_object>>
    get(std::string name, std::chrono::milliseconds deadline) = 0;

    /// Reads one object; the answer may be seconds old, and the call costs less.
    virtual boost::asio::awaitable<absl::StatusOr<platform_object>>
    get_stale(std::string name, std::chrono::milliseconds deadline)
    {
        return get(std::move(name), deadline);
    }

    /// Writes an object if its version is still `version`, 0 meaning that it must not exist.
    /// Returns the new version.
    virtual boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    put(std::string name, std::string value, std::uint64_t version,
        std::chrono::milliseconds deadline) = 0;
};

} // namespace fulmaryard

#endif
