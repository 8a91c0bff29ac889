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

/// Keeps this entry's copy of the platform's instance list up to date. Only the elected entries
/// watch the platform, so that the number of platform calls does not grow with the number of
/// entries. The other entries poll the elected ones by JSON-RPC `instances.get` and fall back to
/// the platform if none of them answers. If the platform does not answer either, the last list
/// stays in use.
class instance_watcher
{
public:
    /// Called after each successful read, even if the list is unchanged.
    using change_handler = std::function<void(const instance_list&)>;

    /// `self` is this entry's peer address. `platform` must outlive `run`.
    instance_watcher(
        boost::asio::any_io_executor executor, platform_client& platform, std::string self,
        change_handler on_list);

    /// Registers two methods with `server`: `instances.get` returns the list, or {"unchanged"} if
    /// the caller already has this version; `instances.view` returns the `instance_view` of one
    /// side process. `generation` returns the configuration generation in force at this entry.
    void serve(json_rpc_server& server, std::function<std::uint64_t()> generation);

    /// Reads the list repeatedly until the executor's context stops. Must be called only once.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> read_from_peers(const std::vector<std::string>& watchers);
    boost::asio::awaitable<bool> read_from_platform();
    void update_list(instance_list list);

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    std::string m_self;
    change_handler m_on_list;
    std::mutex m_mutex;
    instance_list m_list; ///< Written only by `run`, with `m_mutex` held.
};

/// Returns the peer addresses of the entries in `list` that are not leaving.
std::vector<std::string> active_entry_addresses(const instance_list& list);

/// Serializes the list as a JSON object.
std::string format_instance_list(const instance_list& list);

/// Parses the JSON object from `format_instance_list`; returns an error if it is malformed.
absl::StatusOr<instance_list> parse_instance_list(std::string_view text);

} // namespace fulmaryard

#endif
