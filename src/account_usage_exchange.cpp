#include "account_usage_exchange.hpp"

#include "admission_gate.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/http_client.hpp>
#include <fulmaryard/json_rpc.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cmath>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds report_interval{1};
constexpr std::chrono::milliseconds report_timeout{500};
constexpr int json_rpc_invalid_params = -32602; ///< Error code of JSON-RPC 2.0.

asio::awaitable<void> send_report(std::shared_ptr<http_client> peer, std::string body)
{
    http_request request;
    request.m_method = "POST";
    request.m_target = "/rpc";
    request.m_fields = {{"Content-Type", "application/json"}};
    request.m_body = std::move(body);
    // Errors are ignored: the next report replaces a lost one.
    std::ignore = co_await peer->send(std::move(request), report_timeout);
}

} // namespace

std::string format_account_usage(const account_usage_report& report)
{
    json::object accounts;
    for (const auto& [account, rate] : report.m_request_rates)
        accounts[account] = rate;
    return json::serialize(json::object{
        {"entry", report.m_entry},
        {"generation", report.m_generation},
        {"use", std::move(accounts)}});
}

std::optional<account_usage_report> parse_account_usage(std::string_view text)
{
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const name = fields ? fields->if_contains("entry") : nullptr;
    const auto* const generation = fields ? fields->if_contains("generation") : nullptr;
    const auto* const accounts = fields ? fields->if_contains("use") : nullptr;
    if (!name || !name->is_string() || !generation || !generation->is_number() || !accounts ||
        !accounts->is_object())
        return std::nullopt;
    account_usage_report report;
    for (const auto& account : accounts->get_object())
    {
        const double rate =
            account.value().is_number() ? account.value().to_number<double>() : -1.0;
        if (!std::isfinite(rate) || rate < 0)
            return std::nullopt;
        report.m_request_rates[std::string(account.key().data(), account.key().size())] = rate;
    }
    report.m_entry.assign(name->get_string().data(), name->get_string().size());
    report.m_generation = generation->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return report;
}

account_usage_exchange::account_usage_exchange(
    asio::any_io_executor executor, std::shared_ptr<admission_gate> gate, std::string self,
    std::vector<std::string> fixed, generation_source generation, generation_listener on_generation)
    : m_executor(std::move(executor)),
      m_gate(std::move(gate)),
      m_own_address(std::move(self)),
      m_fixed_entries(std::move(fixed)),
      m_generation(std::move(generation)),
      m_on_generation(std::move(on_generation))
{
    set_entries({});
}

void account_usage_exchange::serve(json_rpc_server& server)
{
    server.add(
        "account.use",
        [gate = m_gate,
         on_generation = m_on_generation](const std::string& parameters) -> json_rpc_result
        {
            auto report = parse_account_usage(parameters);
            if (!report)
                return {"", "malformed account use", json_rpc_invalid_params};
            on_generation(report->m_entry, report->m_generation);
            gate->on_peer_usage(report->m_entry, std::move(report->m_request_rates));
            return {"{}", "", 0};
        });
}

void account_usage_exchange::set_entries(const std::vector<std::string>& addresses)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::shared_ptr<http_client>> updated_peers;
    const auto add = [&](const std::string& address)
    {
        if (address == m_own_address)
            return;
        const auto existing = m_peers.find(address);
        updated_peers[address] = existing != m_peers.end()
                                     ? existing->second
                                     : std::make_shared<http_client>(m_executor, address, 1);
    };
    for (const auto& address : m_fixed_entries)
        add(address);
    for (const auto& address : addresses)
        add(address);
    m_peers = std::move(updated_peers);
}

std::vector<std::shared_ptr<http_client>> account_usage_exchange::peers()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<http_client>> clients;
    for (const auto& [address, client] : m_peers)
        clients.push_back(client);
    return clients;
}

asio::awaitable<void> account_usage_exchange::run()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_executor);
    while (true)
    {
        timer.expires_after(report_interval);
        const auto [error] = co_await timer.async_wait(use_tuple);
        if (error)
            co_return;
        const std::string body = make_json_rpc_request(
            "account.use", format_account_usage({m_own_address, m_generation(), m_gate->usage()}));
        for (auto& peer : peers())
            asio::co_spawn(m_executor, send_report(std::move(peer), body), asio::detached);
    }
}

} // namespace fulmaryard
