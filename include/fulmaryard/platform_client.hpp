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

/// Client of the platform's object API and instance list. Thread-safe. Every call has a time limit
/// and counts as one call at the platform.
///
/// Failures: `platform_unavailable`, with outcome `not_run` if nothing was sent or if the platform
/// refused the call with status 429 or 503, and `unknown` if a write may have taken effect;
/// `conflict` if a conditional update expects a version other than the current one.
class platform_client
{
public:
    /// `address` is the platform's "IP:PORT".
    platform_client(boost::asio::any_io_executor executor, std::string address);

    /// Reads one object. The version is 0 if the object does not exist.
    boost::asio::awaitable<absl::StatusOr<platform_object>>
    get(std::string name, std::chrono::milliseconds timeout);

    /// Long poll: waits for a version of the object other than `version`, for `max_wait` at most,
    /// and then reads the object.
    boost::asio::awaitable<absl::StatusOr<platform_object>>
    watch(std::string name, std::uint64_t version, std::chrono::milliseconds max_wait);

    /// Writes an object if its current version is `version`; 0 requires that it does not exist.
    /// Returns the new version. Fails with `payload_too_large` if the platform rejects the size.
    boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    put(std::string name, std::string value, std::uint64_t version,
        std::chrono::milliseconds timeout);

    /// Returns the names of all objects whose name begins with `prefix`.
    boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>>
    list(std::string prefix, std::chrono::milliseconds timeout);

    /// Long poll: waits for a version of the instance list other than `version`, for `max_wait` at
    /// most, and then reads the list.
    boost::asio::awaitable<absl::StatusOr<instance_list>>
    instances(std::uint64_t version, std::chrono::milliseconds max_wait);

private:
    http_client m_http;
};

} // namespace fulmaryard

#endif
