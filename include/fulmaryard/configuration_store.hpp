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

/// Reads and applies the accepted configuration, which the platform stores. Files are immutable
/// and cached. Thread-safe.
class configuration_store
{
public:
    explicit configuration_store(platform_client& platform);

    /// Performs one apply; see `configuration_apply` for the failures. Retries during outages until
    /// `deadline` has passed. After a conflict, `difference` lists what the request would change in
    /// the file that is in force. The arguments must outlive the coroutine.
    boost::asio::awaitable<absl::StatusOr<applied_file>> apply(
        const apply_request& request, std::chrono::milliseconds deadline,
        std::vector<std::string>& difference);

    boost::asio::awaitable<absl::StatusOr<current_configuration>>
    read_current(std::chrono::milliseconds deadline);

    /// Reads one file by its content hash; fails with `internal` if the content does not match it.
    boost::asio::awaitable<absl::StatusOr<tenant_configuration>>
    read_file(std::string hash, std::chrono::milliseconds deadline);

    /// Reads all files that `current` names; `deadline` applies to each file separately.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<const configuration>>>
    load(current_configuration current, std::chrono::milliseconds deadline);

private:
    platform_client& m_platform;
    std::mutex m_mutex;
    /// Content hash to file. `load` evicts files that the loaded configuration does not name.
    std::map<std::string, tenant_configuration> m_files;
};

} // namespace fulmaryard

#endif
