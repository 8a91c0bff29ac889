#ifndef FULMARYARD_PLATFORM_CLIENT_HPP
#define FULMARYARD_PLATFORM_CLIENT_HPP

#include <fulmaryard/http_client.hpp>
#include <fulmaryard/instance_list.hpp>
#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Client of the platform's object API and instance list. Thread-safe. Every call has a deadline
/// and counts as one call at the platform.
///
/// Failures: `platform_unavailable`, with outcome `not_run` where nothing was sent or the platform
/// answered 429 or 503 without running the call, and `unknown` where a write may have taken
/// effect; `conflict` where a conditional update names another version.
class platform_client
{
public:
    platform_client(boost::asio::any_io_executor executor, std::string address);

    /// Reads one object; version 0 when it does not exist.
    boost::asio::awaitable<absl::StatusOr<platform_object>>
    get(std::string name, std::chrono::milliseconds deadline);

    /// Waits until the version differs from `version`, at most `wait`, then reads.
    boost::asio::awaitable<absl::StatusOr<platform_object>>
    watch(std::string name, std::uint64_t version, std::chrono::milliseconds wait);

    /// Writes an object if its version is still `version`, 0 meaning that it must not exist.
    /// Returns the new version.
    boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    put(std::string name, std::string value, std::uint64_t version,
        std::chrono::milliseconds deadline);

    /// Names of the objects that begin with `prefix`.
    boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>>
    list(std::string prefix, std::chrono::milliseconds deadline);

    /// Reads the instance list, waiting at most `wait` for a version other than `version`.
    boost::asio::awaitable<absl::StatusOr<instance_list>>
    instances(std::uint64_t version, std::chrono::milliseconds wait);

private:
    http_client m_http;
};

} // namespace fulmaryard

#endif
