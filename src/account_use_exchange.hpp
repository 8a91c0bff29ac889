#ifndef FULMARYARD_ACCOUNT_USE_EXCHANGE_HPP
#define FULMARYARD_ACCOUNT_USE_EXCHANGE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

class admission_gate;
class http_client;
class json_rpc_server;

/// Tells the other entries every second, by JSON-RPC `account.use`, how many requests each account
/// makes here, and receives the same from them. Thread-safe.
class account_use_exchange : public std::enable_shared_from_this<account_use_exchange>
{
public:
    /// `self` is this entry's peer address, `fixed` are entries from the settings.
    account_use_exchange(
        boost::asio::any_io_executor executor, std::shared_ptr<admission_gate> gate,
        std::string self, std::vector<std::string> fixed);

    /// Adds the method to `server`.
    void serve(json_rpc_server& server);

    /// Entries of the instance list.
    void set_entries(const std::vector<std::string>& addresses);

    /// Reports until the executor's context stops.
    boost::asio::awaitable<void> run();

private:
    std::vector<std::shared_ptr<http_client>> peers();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<admission_gate> m_gate;
    std::string m_self;
    std::vector<std::string> m_fixed;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<http_client>> m_peers;
};

/// The parameters of `account.use`.
std::string format_account_use(const std::string& entry, const std::map<std::string, double>& use);

/// Reads them; false when they are malformed.
bool parse_account_use(
    std::string_view text, std::string& entry, std::map<std::string, double>& use);

} // namespace fulmaryard

#endif
