#include "instance_watcher.hpp"

#include "instance_view.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/platform_client.hpp>
#include <fulmaryard/watcher_election.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// Long-poll timeout of a platform read. A connection that stopped responding is detected only after
// this timeout plus the client's margin.
constexpr std::chrono::milliseconds long_poll_timeout{3000};
constexpr std::chrono::milliseconds peer_request_timeout{500};
// A leaving endpoint must stop receiving new work within a few seconds. Polling adds up to one
// second to the lag of the list.
constexpr std::chrono::milliseconds peer_poll_interval{1000};
constexpr std::chrono::milliseconds retry_interval{500};
constexpr int invalid_parameters = -32602; ///< JSON-RPC 2.0 error code.

std::string string_member(const json::object& object, std::string_view name)
{
    const auto* const value = object.if_contains(json::string_view(name.data(), name.size()));
    const auto* const text = value ? value->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

/// Parses `text` as a JSON object and returns its number member `name`, or 0 if there is none.
std::uint64_t number_member(std::string_view text, std::string_view name)
{
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const number =
        fields ? fields->if_contains(json::string_view(name.data(), name.size())) : nullptr;
    if (!number || !number->is_number())
        return 0;
    const auto read = number->to_number<std::uint64_t>(error);
    return error ? 0 : read;
}

absl::Status malformed_list_error()
{
    return make_failure(failure_kind::invalid_request, "malformed instance list");
}

} // namespace

std::vector<std::string> active_entry_addresses(const instance_list& list)
{
    std::vector<std::string> entries;
    for (const auto& instance : list.m_instances)
    {
        if (instance.m_role == "entry" && !instance.m_leaving)
            entries.push_back(instance.m_peer_address);
    }
    return entries;
}

std::string format_instance_list(const instance_list& list)
{
    json::array instances;
    for (const auto& instance : list.m_instances)
    {
        instances.push_back(json::object{
            {"name", instance.m_name},
            {"role", instance.m_role},
            {"peer_address", instance.m_peer_address},
            {"region", instance.m_region},
            {"failure_domain", instance.m_failure_domain},
            {"leaving", instance.m_leaving}});
    }
    return json::serialize(
        json::object{{"version", list.m_version}, {"instances", std::move(instances)}});
}

absl::StatusOr<instance_list> parse_instance_list(std::string_view text)
{
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const version = fields ? fields->if_contains("version") : nullptr;
    const auto* const instances = fields ? fields->if_contains("instances") : nullptr;
    if (!version || !version->is_number() || !instances || !instances->is_array())
        return malformed_list_error();
    instance_list list;
    list.m_version = version->to_number<std::uint64_t>(error);
    if (error)
        return malformed_list_error();
    for (const auto& item : instances->get_array())
    {
        const auto* const instance = item.if_object();
        const auto* const leaving = instance ? instance->if_contains("leaving") : nullptr;
        if (!leaving || !leaving->is_bool())
            return malformed_list_error();
        list.m_instances.push_back(
            {string_member(*instance, "name"), string_member(*instance, "role"),
             string_member(*instance, "peer_address"), string_member(*instance, "region"),
             string_member(*instance, "failure_domain"), leaving->get_bool()});
    }
    return list;
}

instance_watcher::instance_watcher(
    asio::any_io_executor executor, platform_client& platform, std::string self,
    change_handler on_list)
    : m_executor(std::move(executor)),
      m_platform(platform),
      m_self(std::move(self)),
      m_on_list(std::move(on_list))
{
}

void instance_watcher::serve(json_rpc_server& server, std::function<std::uint64_t()> generation)
{
    server.add(
        "instances.get",
        [this](const std::string& parameters) -> json_rpc_result
        {
            const std::uint64_t known_version = number_member(parameters, "version");
            const std::lock_guard lock(m_mutex);
            if (known_version != 0 && known_version == m_list.m_version)
                return {json::serialize(json::object{{"unchanged", known_version}}), "", 0};
            return {format_instance_list(m_list), "", 0};
        });
    server.add(
        "instances.view",
        [this, generation = std::move(generation)](const std::string& parameters) -> json_rpc_result
        {
            json::error_code error;
            const auto value =
                json::parse(json::string_view(parameters.data(), parameters.size()), error);
            const auto* const fields = error ? nullptr : value.if_object();
            if (!fields)
                return {"", "instances.view takes peer_address", invalid_parameters};
            const std::string address = string_member(*fields, "peer_address");
            const std::lock_guard lock(m_mutex);
            return {format_instance_view(make_instance_view(m_list, address, generation())), "", 0};
        });
}

void instance_watcher::update_list(instance_list list)
{
    {
        const std::lock_guard lock(m_mutex);
        m_list = std::move(list);
    }
    m_on_list(m_list);
}

asio::awaitable<bool> instance_watcher::read_from_peers(const std::vector<std::string>& watchers)
{
    for (const auto& address : watchers)
    {
        http_client client(m_executor, address, 0);
        http_request request;
        request.m_method = "POST";
        request.m_target = "/rpc";
        request.m_body = make_json_rpc_request(
            "instances.get", json::serialize(json::object{{"version", m_list.m_version}}));
        const auto response = co_await client.send(std::move(request), peer_request_timeout);
        if (!response.ok() || response->m_status != 200)
            continue;
        const auto answer = read_json_rpc_response(response->m_body);
        // The full list at the design scale is 0.5 MB, too much to transfer every second, so the
        // peer only confirms a version that has not changed.
        if (answer.m_error.empty() && m_list.m_version != 0 &&
            number_member(answer.m_json, "unchanged") == m_list.m_version)
        {
            // The handler must run again: an endpoint that was removed from the list while its
            // link was up is dropped by the first call after the link goes down.
            m_on_list(m_list);
            co_return true;
        }
        auto list = parse_instance_list(answer.m_json);
        // A peer that has just started has no list yet, and a peer that is partitioned from the
        // platform may have an older one.
        if (!answer.m_error.empty() || !list.ok() || list->m_version < m_list.m_version)
            continue;
        update_list(*std::move(list));
        co_return true;
    }
    co_return false;
}

asio::awaitable<bool> instance_watcher::read_from_platform()
{
    auto list = co_await m_platform.instances(m_list.m_version, long_poll_timeout);
    if (!list.ok())
    {
        log_event(log_level::warning, "instance_list_unavailable")
            .with("error", message_of(list.status()));
        co_return false;
    }
    update_list(*std::move(list));
    co_return true;
}

asio::awaitable<void> instance_watcher::run()
{
    asio::steady_timer timer(m_executor);
    while (true)
    {
        const auto entries = active_entry_addresses(m_list);
        std::chrono::milliseconds pause{0};
        if (is_elected_watcher(m_self, entries))
        {
            if (!co_await read_from_platform())
                pause = retry_interval;
        }
        else
        {
            std::vector<std::string> watchers;
            std::copy_if(
                entries.begin(), entries.end(), std::back_inserter(watchers),
                [&](const std::string& entry) { return is_elected_watcher(entry, entries); });
            pause = peer_poll_interval;
            if (!co_await read_from_peers(watchers))
                std::ignore = co_await read_from_platform();
        }
        if (pause.count() == 0)
            continue;
        timer.expires_after(pause);
        const auto [error] = co_await timer.async_wait(use_tuple);
        if (error)
            co_return;
    }
}

} // namespace fulmaryard
