#ifndef FULMARYARD_CONFIGURATION_STORE_HPP
#define FULMARYARD_CONFIGURATION_STORE_HPP

#include <fulmaryard/apply_request.hpp>
#include <fulmaryard/configuration.hpp>
#include <fulmaryard/current_configuration.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmaryard
{

class platform_client;

/// The accepted configuration at the platform. Files are immutable and cached. Thread-safe.
class configuration_store
{
public:
    explicit configuration_store(platform_client& platform);

    /// Accepts one apply; see `configuration_apply` for the failures. Outages are retried until
    /// `deadline` has passed. After a conflict, `difference` tells what the request would change
    /// in the file that is in force instead. The arguments must live until it completes.
    boost::asio::awaitable<absl::StatusOr<applied_file>> apply(
        const apply_request& request, std::chrono::milliseconds deadline,
        std::vector<std::string>& difference);

    boost::asio::awaitable<absl::StatusOr<current_configuration>>
    read_current(std::chrono::milliseconds deadline);

    /// Reads one file by its content hash; `internal` when the content does not have that hash.
    boost::asio::awaitable<absl::StatusOr<tenant_configuration>>
    read_file(std::string hash, std::chrono::milliseconds deadline);

    /// Reads all files that `current` names, `deadline` being that of each call.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<const configuration>>>
    load(current_configuration current, std::chrono::milliseconds deadline);

private:
    platform_client& m_platform;
    std::mutex m_mutex;
    std::map<std::string, tenant_configuration> m_files; ///< By hash, those last loaded.
};

} // namespace fulmaryard

#endif
