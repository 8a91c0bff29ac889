#ifndef FULMARYARD_ACCOUNT_USE_EXCHANGE_HPP
#define FULMARYARD_ACCOUNT_USE_EXCHANGE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

class admission_gate;
class http_client;
class json_rpc_server;

/// Tells the other entries every second, by JSON-RPC `account.use`, how many requests each account
/// makes here and which configuration generation is in force, and receives the same from them.
/// Thread-safe.
class account_use_exchange : public std::enable_shared_from_this<account_use_exchange>
{
public:
    using generation_source = std::function<std::uint64_t()>;
    using generation_listener =
        std::function<void(const std::string& address, std::uint64_t generation)>;

    /// `self` is this entry's peer address, `fixed` are entries from the settings. `generation` is
    /// this entry's, `on_generation` hears of another's.
    account_use_exchange(
        boost::asio::any_io_executor executor, std::shared_ptr<admission_gate> gate,
        std::string self, std::vector<std::string> fixed, generation_source generation,
        generation_listener on_generation);

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
    generation_source m_generation;
    generation_listener m_on_generation;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<http_client>> m_peers;
};

/// The parameters of `account.use`.
struct account_use_report
{
    std::string m_entry; ///< Peer address of the entry that reports.
    std::uint64_t m_generation{0};
    std::map<std::string, double> m_use; ///< Requests a second by account.
};

std::string format_account_use(const account_use_report& report);

/// Reads what `format_account_use` wrote; empty when it is malformed.
std::optional<account_use_report> parse_account_use(std::string_view text);

} // namespace fulmaryard

#endif
