#ifndef FULMARYARD_INSTANCE_WATCHER_HPP
#define FULMARYARD_INSTANCE_WATCHER_HPP

#include <fulmaryard/instance_list.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

class json_rpc_server;
class platform_client;

/// Follows the platform's instance list. The elected entries watch the platform, so that its calls
/// do not grow with the number of entries; the others read the list from them by JSON-RPC
/// `instances.get`, and from the platform while none of them answers. The last list stays in use
/// while neither answers.
class instance_watcher
{
public:
    /// Called with each list that is read, also when it is the same.
    using change_handler = std::function<void(const instance_list&)>;

    /// `self` is this entry's peer address. `platform` must outlive `run`.
    instance_watcher(
        boost::asio::any_io_executor executor, platform_client& platform, std::string self,
        change_handler on_list);

    /// Adds `instances.get` (the list, or {"unchanged"} for a caller that has its version) and
    /// `instances.view` (what one side process needs of it) to `server`.
    void serve(json_rpc_server& server, std::function<std::uint64_t()> generation);

    /// Reads until the executor's context stops. Call it once.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> read_from_peers(const std::vector<std::string>& watchers);
    boost::asio::awaitable<bool> read_from_platform();
    void accept(instance_list list);

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    std::string m_self;
    change_handler m_on_list;
    std::mutex m_mutex;
    instance_list m_list; ///< Written by `run` only, under the mutex.
};

/// Peer addresses of the entries in `list` that are not leaving.
std::vector<std::string> entries_of(const instance_list& list);

/// The list as a JSON object, and back.
std::string format_instance_list(const instance_list& list);
absl::StatusOr<instance_list> parse_instance_list(std::string_view text);

} // namespace fulmaryard

#endif
