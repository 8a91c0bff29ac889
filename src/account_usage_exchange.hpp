#ifndef FULMARYARD_ACCOUNT_USAGE_EXCHANGE_HPP
#define FULMARYARD_ACCOUNT_USAGE_EXCHANGE_HPP

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

/// Exchanges request rates per client account and the active configuration generation with the
/// other entries. Sends a report to each of them every second by the JSON-RPC method `account.use`.
/// Thread-safe.
class account_usage_exchange : public std::enable_shared_from_this<account_usage_exchange>
{
public:
    using generation_source = std::function<std::uint64_t()>;
    using generation_listener =
        std::function<void(const std::string& address, std::uint64_t generation)>;

    /// `self` is the peer address of this entry; `fixed` are the peer addresses of entries listed
    /// in the settings. `generation` returns the configuration generation of this entry;
    /// `on_generation` is called with the generation that another entry reports.
    account_usage_exchange(
        boost::asio::any_io_executor executor, std::shared_ptr<admission_gate> gate,
        std::string self, std::vector<std::string> fixed, generation_source generation,
        generation_listener on_generation);

    /// Registers the method `account.use` with `server`.
    void serve(json_rpc_server& server);

    /// Sets the peer addresses of the entries in the instance list. Fixed entries are kept.
    void set_entries(const std::vector<std::string>& addresses);

    /// Sends reports until the execution context of the executor stops.
    boost::asio::awaitable<void> run();

private:
    std::vector<std::shared_ptr<http_client>> peers();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<admission_gate> m_gate;
    std::string m_own_address;
    std::vector<std::string> m_fixed_entries;
    generation_source m_generation;
    generation_listener m_on_generation;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<http_client>> m_peers; ///< By peer address.
};

/// The parameters of `account.use`.
struct account_usage_report
{
    std::string m_entry; ///< Peer address of the reporting entry.
    std::uint64_t m_generation{0};
    std::map<std::string, double> m_request_rates; ///< Requests per second by account.
};

/// Formats `report` as a JSON object.
std::string format_account_usage(const account_usage_report& report);

/// Parses the output of `format_account_usage`. Returns `nullopt` if it is malformed.
std::optional<account_usage_report> parse_account_usage(std::string_view text);

} // namespace fulmaryard

#endif
