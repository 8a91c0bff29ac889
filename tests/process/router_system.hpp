#ifndef FULMARYARD_ROUTER_SYSTEM_HPP
#define FULMARYARD_ROUTER_SYSTEM_HPP

#include "process/child_process.hpp"
#include "process/reserved_port.hpp"
#include "process/scripted_endpoint.hpp"
#include "process/temporary_directory.hpp"
#include "process/test_client.hpp"

#include <fulmaryard/layer_range.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fulmaryard::process_tests
{

namespace json = boost::json;

/// Polls until `condition` holds; false after `limit`.
template <typename Condition>
bool wait_until(
    const Condition& condition, std::chrono::milliseconds limit = std::chrono::seconds(10))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

/// A stand-in for the platform and its endpoints, with routers in front of it.
class router_system
{
public:
    explicit router_system(int models = 4, int plain = 2)
    {
        m_platform = std::make_unique<child_process>(
            std::string(FULMARYARD_STANDIN_DIRECTORY) + "/standin_pipeline",
            std::vector<std::string>{
                "--listen", "127.0.0.1:0", "--models", std::to_string(models), "--plain",
                std::to_string(plain)},
            m_directory.file("platform"));
        const auto port = m_platform->wait_for_port(std::chrono::seconds(20));
        REQUIRE(port.ok());
        m_store = fmt::format("127.0.0.1:{}", *port);
    }

    void start_router(const std::string& name, const std::string& extra_settings = "")
    {
        launch_router(name, extra_settings);
        REQUIRE(wait_until([&] { return ready(name); }));
    }

    /// Lets the router reach the store over a link of `bytes_per_s`, which its connections share.
    /// To be called before the router is started.
    void use_slow_link(const std::string& name, std::int64_t bytes_per_s)
    {
        auto& link = m_links[name];
        link.m_process = std::make_unique<child_process>(
            std::string(FULMARYARD_STANDIN_DIRECTORY) + "/standin_relay",
            std::vector<std::string>{
                "--listen", link.m_control.address(), "--relay", link.m_relay.address(), "--target",
                m_store},
            m_directory.file("link-" + name));
        REQUIRE(link.m_process->wait_for_port(std::chrono::seconds(20)).ok());
        const json::object fault{{"kind", "slow"}, {"bytes_per_s", bytes_per_s}};
        const test_client client(link.m_control.address());
        REQUIRE(client.post("/faults", json::serialize(fault)).ok());
    }

    /// Starts a router without waiting until it is ready.
    void launch_router(const std::string& name, const std::string& extra_settings = "")
    {
        write_settings(name, extra_settings);
        auto& started = m_routers[name];
        const std::string path = m_directory.file(name + ".yaml");
        started.m_process = std::make_unique<child_process>(
            FULMARYARD_BINARY, std::vector<std::string>{"router", "--settings", path},
            m_directory.file(name));
    }

    /// Writes the settings file of a router, which reads it at its start and at SIGHUP.
    void write_settings(
        const std::string& name, const std::string& extra_settings = "",
        std::chrono::milliseconds grace = std::chrono::seconds(8))
    {
        const auto& settings = m_routers[name];
        const auto link = m_links.find(name);
        std::FILE* file = std::fopen(m_directory.file(name + ".yaml").c_str(), "w");
        fmt::print(
            file,
            "name: {}\nregion: r\nfailure_domain: domain-1\nplatform: {}\nlisten: {}\n"
            "ready_listen: {}\nmetrics_listen: {}\npeer_listen: {}\ngrace_s: {:.3f}\n{}",
            name, link == m_links.end() ? m_store : link->second.m_relay.address(),
            settings.m_listen.address(), settings.m_ready.address(), settings.m_metrics.address(),
            settings.m_peer.address(), std::chrono::duration<double>(grace).count(),
            extra_settings);
        std::fclose(file);
    }

    bool ready(const std::string& name) const
    {
        const auto response = test_client(m_routers.at(name).m_ready.address())
                                  .get("/readyz", std::chrono::seconds(1));
        return response.ok() && response->m_status == 200;
    }

    child_process& process(const std::string& name) { return *m_routers.at(name).m_process; }
    std::string address(const std::string& name) const
    {
        return m_routers.at(name).m_listen.address();
    }
    std::string metrics(const std::string& name) const
    {
        const auto response = test_client(m_routers.at(name).m_metrics.address()).get("/metrics");
        return response.ok() ? response->m_body : "";
    }

    static http_request make_request(
        const std::string& method, const std::string& path, const std::string& id,
        const std::string& key = "secret")
    {
        return {
            method,
            path,
            {{"Fulmaryard-Attempt-Id", id},
             {"Fulmaryard-Deadline-Ms", "8000"},
             {"Fulmaryard-Token-Usage", "10,100"},
             {"Authorization", "Bearer " + key}},
            ""};
    }

    /// Sends one request and returns true if the status is 200. The first requests can fail because
    /// no layers are loaded yet.
    bool serves(const std::string& name)
    {
        const auto id = fmt::format("warm-{}", ++m_warmup_count);
        http_request request = make_request("POST", "/chat/1", id);
        request.m_fields[2].m_value = "10,2";
        const auto response = test_client(address(name)).send(request);
        return response.ok() && response->m_status == 200;
    }

    /// Lists an endpoint that the test itself provides; one with layers serves the model.
    void add_endpoint(
        const std::string& id, scripted_endpoint& endpoint, std::optional<layer_range> layers) const
    {
        json::object entry{
            {"service", layers ? "model" : "orders"},
            {"address", endpoint.address()},
            {"zone", "domain-1"},
            {"slots", 8},
            {"state", "ready"},
            {"born", 1}};
        if (layers)
        {
            entry["kind"] = "card";
            entry["layers"] = json::object{{"from", layers->m_begin}, {"target", layers->m_end}};
            endpoint.set_layers(static_cast<int>(layers->m_begin), static_cast<int>(layers->m_end));
        }
        const json::object object{{"metadata", json::object{{"name", id}}}, {"spec", entry}};
        REQUIRE(test_client(m_store).post("/objects/servers", json::serialize(object)).ok());
    }

    /// Names of the objects of a kind in the store.
    std::vector<std::string> objects(const std::string& kind) const
    {
        std::vector<std::string> names;
        const auto listing = test_client(m_store).get_json("/objects/" + kind);
        for (const auto& item : listing.at("items").as_array())
            names.emplace_back(item.at("metadata").at("name").as_string());
        return names;
    }

    json::value journal() const { return test_client(m_store).get_json("/control"); }
    void control(const json::object& command) const
    {
        REQUIRE(test_client(m_store).post("/control", json::serialize(command)).ok());
    }
    std::int64_t runs(const std::string& id) const
    {
        const auto seen = journal();
        const auto* count = seen.at("runs").as_object().if_contains(id);
        return count == nullptr ? 0 : count->to_number<std::int64_t>();
    }

private:
    struct router
    {
        reserved_port m_listen;
        reserved_port m_ready;
        reserved_port m_metrics;
        reserved_port m_peer;
        std::unique_ptr<child_process> m_process;
    };

    struct slow_link
    {
        reserved_port m_control;
        reserved_port m_relay;
        std::unique_ptr<child_process> m_process;
    };

    temporary_directory m_directory;
    std::unique_ptr<child_process> m_platform;
    std::map<std::string, slow_link> m_links; ///< By router.
    std::string m_store;
    std::map<std::string, router> m_routers;
    int m_warmup_count{0};
};

} // namespace fulmaryard::process_tests

#endif
