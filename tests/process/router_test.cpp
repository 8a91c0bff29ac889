#include "process/child_process.hpp"
#include "process/event_stream.hpp"
#include "process/raw_connection.hpp"
#include "process/reserved_port.hpp"
#include "process/scripted_endpoint.hpp"
#include "process/temporary_directory.hpp"
#include "process/test_client.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_range.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <doctest/doctest.h>
#include <fmt/core.h>

#include <csignal>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

/// Polls until `condition` holds; false after `limit`.
template <typename Condition>
bool wait_until(const Condition& condition, std::chrono::milliseconds limit = 10s)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(20ms);
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
        const auto port = m_platform->wait_for_port(20s);
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
        REQUIRE(link.m_process->wait_for_port(20s).ok());
        const json::object fault{{"kind", "slow"}, {"bytes_per_s", bytes_per_s}};
        const test_client client(link.m_control.address());
        REQUIRE(client.post("/faults", json::serialize(fault)).ok());
    }

    /// Starts a router without waiting until it is ready.
    void launch_router(const std::string& name, const std::string& extra_settings = "")
    {
        auto& started = m_routers[name];
        const std::string path = m_directory.file(name + ".yaml");
        const auto link = m_links.find(name);
        std::FILE* file = std::fopen(path.c_str(), "w");
        fmt::print(
            file,
            "name: {}\nregion: r\nfailure_domain: domain-1\nplatform: {}\nlisten: {}\n"
            "ready_listen: {}\nmetrics_listen: {}\npeer_listen: {}\ngrace_ms: 8000\n{}",
            name, link == m_links.end() ? m_store : link->second.m_relay.address(),
            started.m_listen.address(), started.m_ready.address(), started.m_metrics.address(),
            started.m_peer.address(), extra_settings);
        std::fclose(file);
        started.m_process = std::make_unique<child_process>(
            FULMARYARD_BINARY, std::vector<std::string>{"router", "--settings", path},
            m_directory.file(name));
    }

    bool ready(const std::string& name) const
    {
        const auto response = test_client(m_routers.at(name).m_ready.address()).get("/readyz", 1s);
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

/// Reads a stream to its end and returns its event ids in order, or an empty list if it broke.
std::vector<std::string> read_ids(event_stream& stream)
{
    std::vector<std::string> ids;
    for (;;)
    {
        const auto event = stream.next(5s);
        if (!event.ok())
        {
            MESSAGE("stream broke after ", ids.size(), ": ", message_of(event.status()));
            return {};
        }
        if (!*event)
            return ids;
        ids.push_back((*event)->m_id);
    }
}

std::vector<std::string> expected_ids(int first, int last)
{
    std::vector<std::string> ids;
    for (int id = first; id <= last; ++id)
        ids.push_back(std::to_string(id));
    return ids;
}

/// Returns the address of the endpoint at `position` in a request's path, taken from the router's
/// log.
std::string endpoint_of(const child_process& router, const std::string& id, std::size_t position)
{
    const auto log = router.output();
    const auto line = log.find("event=request_placed");
    auto at = log.find("request=" + id, line);
    at = log.find("path=\"", at) + 6;
    for (; position > 0; --position)
        at = log.find(',', at) + 1;
    return log.substr(at, log.find('=', at) - at);
}

} // namespace

TEST_SUITE_BEGIN("router");

TEST_CASE("a stream over a pipeline of endpoints")
{
    // Guards against events that are lost, repeated or mixed from two runs when an endpoint of the
    // path fails, and against a failure that is visible to the caller.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    auto stream = event_stream::open(
        system.address("router-1"), router_system::make_request("POST", "/chat/1", "call-1"), 5s);
    REQUIRE(stream.ok());
    REQUIRE(stream->status() == 200);

    SUBCASE("arrives whole and in order")
    {
        CHECK(read_ids(*stream) == expected_ids(1, 100));
    }
    SUBCASE("goes on when its second endpoint is lost")
    {
        REQUIRE(stream->next(5s).ok());
        system.control({{"kill", endpoint_of(system.process("router-1"), "call-1", 1)}});
        CHECK(read_ids(*stream) == expected_ids(2, 100));
        CHECK(system.runs("call-1") == 1);
    }
    SUBCASE("goes on elsewhere when its first endpoint is lost")
    {
        REQUIRE(stream->next(5s).ok());
        system.control({{"kill", endpoint_of(system.process("router-1"), "call-1", 0)}});
        CHECK(read_ids(*stream) == expected_ids(2, 100));
        CHECK(system.runs("call-1") == 2);
    }
    SUBCASE("completes although its router is terminated")
    {
        REQUIRE(stream->next(5s).ok());
        system.process("router-1").kill(SIGTERM);
        CHECK(read_ids(*stream) == expected_ids(2, 100));
        const auto code = system.process("router-1").wait(9s);
        REQUIRE(code.ok());
        CHECK(*code == 0);
    }
    CHECK(system.journal().at("wrong_paths").to_number<int>() == 0);
}

TEST_CASE("a stream that pauses while no retry is left")
{
    // Guards against a router that closes a stream it cannot retry although the endpoint resumes.
    router_system system;
    system.start_router("router-1", "retry_percent: 0\nretry_slack: 0\n");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    auto stream = event_stream::open(
        system.address("router-1"), router_system::make_request("POST", "/chat/1", "call-1"), 5s);
    REQUIRE(stream.ok());
    REQUIRE(stream->next(5s).ok());
    system.control(
        {{"pause", endpoint_of(system.process("router-1"), "call-1", 0)}, {"pause_ms", 1800}});
    CHECK(read_ids(*stream) == expected_ids(2, 100));
    CHECK(system.runs("call-1") == 1);
}

TEST_CASE("a stream whose endpoint stalls but sends a comment now and then")
{
    // Guards against a router that takes any bytes for progress, so that a stalled stream goes on
    // until its deadline.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.control({{"defect", "comments_only"}});
    const auto start = std::chrono::steady_clock::now();
    auto stream = event_stream::open(
        system.address("router-1"), router_system::make_request("POST", "/chat/1", "call-1"), 5s);
    REQUIRE(stream.ok());
    CHECK(read_ids(*stream) == expected_ids(1, 100));
    CHECK(system.runs("call-1") == 2);
    // Callers disconnect after two seconds without an event.
    CHECK(std::chrono::steady_clock::now() - start < 6s);
}

TEST_CASE("a stream whose first endpoint is no longer listed")
{
    // Guards against exceeding the route's attempt limit by treating an endpoint that still
    // completes its running work as terminated.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    auto stream = event_stream::open(
        system.address("router-1"), router_system::make_request("POST", "/chat/1", "call-1"), 5s);
    REQUIRE(stream.ok());
    REQUIRE(stream->next(5s).ok());
    const auto first = endpoint_of(system.process("router-1"), "call-1", 0);
    system.control({{"forget", first}, {"pause", first}, {"pause_ms", 900}});
    CHECK(read_ids(*stream) == expected_ids(2, 100));
    CHECK(system.runs("call-1") == 1);
}

TEST_CASE("work of a disconnected caller")
{
    // Guards against endpoints that continue a stream after its caller has disconnected.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    {
        auto stream = event_stream::open(
            system.address("router-1"), router_system::make_request("POST", "/chat/1", "call-1"),
            5s);
        REQUIRE(stream.ok());
        REQUIRE(stream->next(5s).ok());
    }
    CHECK(wait_until(
        [&]
        {
            return system.metrics("router-1")
                       .find("fulmaryard_router_streams_total{outcome=\"caller_left\"} 1") !=
                   std::string::npos;
        },
        500ms));
}

TEST_CASE("a refusal of a request that has run")
{
    // Guards against reporting "not run" for a request of which an earlier attempt ran.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));

    SUBCASE("is no refusal when a stream's endpoint is lost before its first event")
    {
        system.control({{"pause_all_ms", 5000}});
        auto answer = std::async(
            std::launch::async,
            [&]
            {
                return test_client(system.address("router-1"))
                    .send(router_system::make_request("POST", "/chat/1", "ran-1"));
            });
        REQUIRE(wait_until([&] { return system.runs("ran-1") == 1; }));
        system.control(
            {{"kill", endpoint_of(system.process("router-1"), "ran-1", 0)}, {"full", true}});
        const auto response = answer.get();
        REQUIRE(response.ok());
        CHECK(response->m_status == 502);
        CHECK(system.runs("ran-1") == 1);
    }
    SUBCASE("is no refusal when the answer of a repeatable call was lost")
    {
        system.control({{"lose_answers", true}, {"full_after_runs", 1}});
        const auto response = test_client(system.address("router-1"))
                                  .send(router_system::make_request("GET", "/look/1", "ran-2"));
        REQUIRE(response.ok());
        CHECK(response->m_status == 502);
        CHECK(system.runs("ran-2") == 1);
    }
}

TEST_CASE("requests whose callers disconnected before they were read")
{
    // Guards against a router that, after a pause or a start, forwards requests whose callers have
    // already disconnected.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.process("router-1").kill(SIGSTOP);
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i)
    {
        ids.push_back(fmt::format("left-{}", i));
        raw_connection connection(system.address("router-1"));
        connection.send(fmt::format(
            "{} HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: {}\r\n"
            "Fulmaryard-Deadline-Ms: 8000\r\nFulmaryard-Token-Usage: 10,100\r\n"
            "Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n",
            i % 2 == 0 ? "POST /chat/1" : "GET /look/1", ids.back()));
    }
    system.process("router-1").kill(SIGCONT);
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    for (const auto& id : ids)
    {
        CAPTURE(id);
        CHECK(system.runs(id) == 0);
    }
}

TEST_CASE("calls to a plain service")
{
    // Guards against calls that run twice, calls that ran but are reported as refused, and calls
    // without an account.
    router_system system;
    system.start_router("router-1");
    const test_client client(system.address("router-1"));
    REQUIRE(wait_until(
        [&]
        {
            const auto response =
                client.send(router_system::make_request("GET", "/look/1", "look-warm"));
            return response.ok() && response->m_status == 200;
        }));

    SUBCASE("are answered with the endpoint's own answer")
    {
        const auto response =
            client.send(router_system::make_request("POST", "/orders/1", "order-1"));
        REQUIRE(response.ok());
        CHECK(response->m_status == 200);
        CHECK(response->m_body == "done order-1");
        CHECK(find_field(response->m_fields, "Fulmaryard-Response-Signature"));
        CHECK(system.runs("order-1") == 1);
    }
    SUBCASE("run once and are not called refused when their answer is lost")
    {
        system.control({{"lose_answers", true}});
        const auto response =
            client.send(router_system::make_request("POST", "/orders/1", "order-2"));
        REQUIRE(response.ok());
        CHECK(response->m_status == 502);
        CHECK(system.runs("order-2") == 1);

        SUBCASE("but are sent again where they may be repeated")
        {
            const auto repeated =
                client.send(router_system::make_request("GET", "/look/1", "look-2"));
            REQUIRE(repeated.ok());
            CHECK(system.runs("look-2") == 2);
        }
    }
    SUBCASE("need a known key and a route")
    {
        const auto unknown =
            client.send(router_system::make_request("POST", "/orders/1", "order-3", "other"));
        REQUIRE(unknown.ok());
        CHECK(unknown->m_status == 401);
        const auto no_route =
            client.send(router_system::make_request("POST", "/none/1", "order-4"));
        REQUIRE(no_route.ok());
        CHECK(no_route->m_status == 404);
        CHECK(system.runs("order-3") == 0);
    }
}

TEST_CASE("the placement of layers when the leading router is killed")
{
    // Guards against a pipeline that is never repaired and against two routers acting as leader.
    router_system system(3);
    system.start_router("router-1");
    system.start_router("router-2");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    const bool first_leads =
        system.process("router-1").output().find("order_lease_won") != std::string::npos;
    const std::string leader = first_leads ? "router-1" : "router-2";
    const std::string other = first_leads ? "router-2" : "router-1";
    CHECK(system.process(other).output().find("order_lease_won") == std::string::npos);
    system.process(leader).kill(SIGKILL);
    REQUIRE(system.process(leader).wait(5s).ok());
    system.control({{"kill", "i-0"}, {"forget", "i-0"}});
    CHECK(wait_until(
        [&] { return system.process(other).output().find("layer_plan_read") != std::string::npos; },
        4s));
    CHECK(wait_until([&] { return system.serves(other); }, 5s));
    CHECK(system.journal().at("wrong_paths").to_number<int>() == 0);
}

TEST_CASE("many versions of the configuration in quick succession")
{
    // Guards against a router that reads and applies every version in turn and lags behind until it
    // has processed them all.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    const auto count_applied = [&]
    {
        const std::string log = system.process("router-1").output();
        int lines = 0;
        for (auto at = log.find("event=configuration_in_force"); at != std::string::npos;
             at = log.find("event=configuration_in_force", at + 1))
            ++lines;
        return lines;
    };
    const int before = count_applied();
    system.process("router-1").kill(SIGSTOP);
    for (int version = 0; version < 20; ++version)
        system.control({{"keys", json::array{"secret", fmt::format("key-{}", version)}}});
    system.process("router-1").kill(SIGCONT);
    const test_client client(system.address("router-1"));
    CHECK(wait_until(
        [&]
        {
            const auto response =
                client.send(router_system::make_request("GET", "/look/1", "newest", "key-19"));
            return response.ok() && response->m_status == 200;
        },
        2s));
    // At most three versions are applied: the one already returned to the watch, the newest, and
    // one in between.
    CHECK(count_applied() - before <= 3);
}

TEST_CASE("requests that arrive just after a router has started")
{
    // Guards against a router that refuses requests in the moment before its first reads of the
    // store return: a caller that was cut off by the restart may have no retry left.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.process("router-1").kill(SIGKILL);
    std::ignore = system.process("router-1").wait(2s);
    const auto send_early = [&]
    {
        const auto request = router_system::make_request("POST", "/orders/1", "early");
        absl::StatusOr<http_response> response = absl::UnavailableError("not listening");
        REQUIRE(wait_until(
            [&]
            {
                response = test_client(system.address("router-1")).send(request);
                return response.ok();
            }));
        return *response;
    };

    SUBCASE("wait for the configuration and the endpoints")
    {
        system.control({{"store_delay_ms", 100}});
        system.launch_router("router-1");
        CHECK(send_early().m_status == 200);
        CHECK(system.runs("early") == 1);
    }
    SUBCASE("are refused at once while the store cannot be reached")
    {
        system.control({{"store_down", true}});
        system.launch_router("router-1");
        const auto refused = send_early();
        CHECK(refused.m_status == 503);
        const auto retry_after = find_field(refused.m_fields, "Retry-After");
        REQUIRE(retry_after);
        CHECK(std::stod(std::string(*retry_after)) >= 2);
        CHECK(system.runs("early") == 0);
    }
}

TEST_CASE("requests while the store is down")
{
    // Guards against routers that stop serving when the store fails and against polling the store
    // in a tight loop.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.control({{"store_down", true}});
    std::this_thread::sleep_for(1500ms);
    CHECK(system.serves("router-1"));
    CHECK(system.ready("router-1"));
    system.control({{"store_down", false}});
    CHECK(wait_until(
        [&]
        { return system.process("router-1").output().find("store_back") != std::string::npos; }));
    CHECK(system.serves("router-1"));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("slow_configuration_read");

TEST_CASE("a large configuration that changes often, read over a slow link")
{
    // Guards against a router that gives up its unfinished read whenever others know a newer
    // version, and so never has a new version in force.
    constexpr std::int64_t link_bytes_per_s = 20'000'000 / 8;
    constexpr int idle_routes =
        5'000; // A configuration of close to 1 MB, the most that the store holds.
    constexpr auto config_apply_time = 3'000ms;
    router_system system;
    system.control({{"idle_routes", idle_routes}, {"keys", json::array{"secret"}}});
    system.use_slow_link("router-2", link_bytes_per_s);
    system.start_router("router-1");
    system.start_router("router-2");
    REQUIRE(wait_until([&] { return system.serves("router-2"); }));
    const auto in_force = [&](const std::string& key)
    {
        const auto response = test_client(system.address("router-2"))
                                  .send(router_system::make_request("GET", "/look/1", key, key));
        return response.ok() && response->m_status == 200;
    };
    for (int version = 0; version < 12; ++version)
    {
        system.control({{"keys", json::array{"secret", fmt::format("key-{}", version)}}});
        std::this_thread::sleep_for(330ms);
    }
    CHECK(wait_until([&] { return in_force("key-11"); }, config_apply_time));
}

TEST_CASE("a configuration whose transfer takes longer than the store may take to answer")
{
    // Guards against a router that gives up an answer that arrives steadily, and so never has a
    // configuration.
    constexpr std::int64_t link_bytes_per_s = 400'000;
    constexpr int idle_routes = 5'000; // Takes about 2.5 s over the link.
    constexpr auto transfer_time = 2'500ms;
    constexpr auto config_apply_time = 3'000ms;
    router_system system;
    system.control({{"idle_routes", idle_routes}, {"keys", json::array{"secret"}}});
    system.use_slow_link("router-1", link_bytes_per_s);
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.control({{"keys", json::array{"secret", "new"}}});
    CHECK(wait_until(
        [&]
        {
            const auto response =
                test_client(system.address("router-1"))
                    .send(router_system::make_request("GET", "/look/1", "call-1", "new"));
            return response.ok() && response->m_status == 200;
        },
        transfer_time + config_apply_time));
    CHECK(system.process("router-1").output().find("store_lost") == std::string::npos);
}

TEST_CASE("a router that missed more versions than one answer of the store may hold")
{
    // Guards against a router that reads every version that it missed, each as a whole, and fails.
    constexpr std::int64_t link_bytes_per_s = 20'000'000 / 8;
    constexpr int idle_routes = 5'000; // A configuration of close to 1 MB.
    constexpr auto config_apply_time = 3'000ms;
    router_system system;
    system.control({{"idle_routes", idle_routes}, {"keys", json::array{"secret"}}});
    system.use_slow_link("router-1", link_bytes_per_s);
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.control({{"store_down", true}});
    REQUIRE(wait_until(
        [&]
        { return system.process("router-1").output().find("store_lost") != std::string::npos; }));
    for (int version = 0; version < 20; ++version)
    {
        system.control(
            {{"keys", json::array{"secret", fmt::format("key-{}", version)}},
             {"store_down", true}});
    }
    system.control({{"store_down", false}});
    CHECK(wait_until(
        [&]
        {
            const auto response =
                test_client(system.address("router-1"))
                    .send(router_system::make_request("GET", "/look/1", "call-1", "key-19"));
            return response.ok() && response->m_status == 200;
        },
        config_apply_time));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("requests_that_crash_endpoints");

TEST_CASE("requests that share a part of the prompt which crashes endpoints")
{
    // Guards against routers that send such requests to one endpoint after the other, and against
    // the refusal of other requests of the same caller.
    constexpr auto contact_time = 3'000ms;
    constexpr std::size_t allowed_crashes = 5;
    constexpr std::size_t allowed_late_arrivals = 3;
    router_system system(10);
    const std::vector<std::string> routers{"router-1", "router-2"};
    for (const auto& router : routers)
    {
        system.start_router(router);
        REQUIRE(wait_until([&] { return system.serves(router); }));
    }
    system.control({{"crash_part", "dead"}});
    const auto make_request = [](const std::string& id, const std::string& parts)
    {
        auto request = router_system::make_request("POST", "/chat/1", id);
        request.m_fields[2].m_value = "10,5";
        request.m_fields.push_back({"Fulmaryard-Prompt-Prefix", parts + ",own" + id + ":4"});
        return request;
    };
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + 14s;
    // Of the sound requests sent later than this, as many as usual are answered.
    const auto recovered = start + 2 * contact_time + 2s;
    std::vector<std::thread> deadly;
    int sound_sent = 0;
    int sound_served = 0;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round)
    {
        const auto& router = routers[static_cast<std::size_t>(round) % routers.size()];
        if (round % 4 == 0)
        {
            deadly.emplace_back(
                [&, address = system.address(routers[static_cast<std::size_t>(round / 4) % 2]),
                 request = make_request(fmt::format("dead-{}", round), "shared:4,dead:2")]
                { std::ignore = test_client(address).send(request); });
        }
        const bool counts = std::chrono::steady_clock::now() > recovered;
        const auto response =
            test_client(system.address(router))
                .send(make_request(fmt::format("sound-{}", round), "shared:4,other:2"));
        sound_sent += counts ? 1 : 0;
        sound_served += counts && response.ok() && response->m_status == 200 ? 1 : 0;
        std::this_thread::sleep_for(40ms);
    }
    for (auto& thread : deadly)
        thread.join();
    const auto journal = system.journal();
    const auto& crashes = journal.at("crash_times").as_array();
    std::size_t late_arrivals = 0;
    for (const auto& arrival : journal.at("crash_arrivals").as_array())
    {
        late_arrivals +=
            crashes.size() >= allowed_crashes &&
            arrival.as_int64() > crashes.at(allowed_crashes - 1).as_int64() + contact_time.count();
    }
    MESSAGE(
        crashes.size(), " crashes, ", sound_served, " of ", sound_sent, " sound requests served");
    CHECK(late_arrivals <= allowed_late_arrivals);
    CHECK(sound_sent >= 20);
    CHECK(2 * sound_served >= sound_sent);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("endpoint_notices");

TEST_CASE("an endpoint that says in its answers that it leaves")
{
    // Guards against new requests at an endpoint that is shutting down while the store, which would
    // tell so, is away.
    constexpr auto drain_time = 2s;
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    const test_client client(system.address("router-1"));
    bool store_away = false;
    SUBCASE("with the store present") {}
    SUBCASE("with the store away")
    {
        store_away = true;
    }
    std::string endpoint = "i-4";
    std::string target = "/look/1";
    std::string method = "GET";
    SUBCASE("of a plain service") {}
    SUBCASE("of a pipeline")
    {
        endpoint = "i-0";
        target = "/chat/1";
        method = "POST";
    }
    system.control({{"say_leaving", endpoint}, {"store_down", store_away}});
    const auto end = std::chrono::steady_clock::now() + 2 * drain_time;
    int served = 0;
    int sent = 0;
    for (; std::chrono::steady_clock::now() < end; ++sent)
    {
        auto request = router_system::make_request(method, target, fmt::format("call-{}", sent));
        request.m_fields[2].m_value = "10,2";
        const auto response = client.send(request);
        served += response.ok() && response->m_status == 200 ? 1 : 0;
        std::this_thread::sleep_for(20ms);
        if (sent == 20)
            system.process("router-1").kill(SIGHUP);
    }
    CHECK(served == sent);
    CHECK(system.journal().at("late_arrivals").as_array().empty());
    CHECK(system.process("router-1").output().find("event=endpoint_notice") != std::string::npos);
}

TEST_CASE("an endpoint that wants no requests for some time")
{
    // Guards against requests at an endpoint that has said for how long it wants none.
    constexpr int allowed_unwanted = 2;
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    const test_client client(system.address("router-1"));
    const auto send = [&](const std::string& method, const std::string& target, int number)
    {
        auto request = router_system::make_request(method, target, fmt::format("call-{}", number));
        request.m_fields[2].m_value = "10,2";
        const auto response = client.send(request);
        REQUIRE(response.ok());
        return *response;
    };
    constexpr auto refusal_time = 2s;
    const auto end = std::chrono::steady_clock::now() + refusal_time;

    SUBCASE("gets none, and the others serve them")
    {
        std::string endpoint = "i-4";
        std::string method = "GET";
        std::string target = "/look/1";
        SUBCASE("in a plain service") {}
        SUBCASE("in a pipeline")
        {
            endpoint = "i-0";
            method = "POST";
            target = "/chat/1";
        }
        system.control({{"refuse_work", endpoint}, {"refuse_ms", 2000}});
        int served = 0;
        int sent = 0;
        for (; std::chrono::steady_clock::now() < end; ++sent)
        {
            served += send(method, target, sent).m_status == 200 ? 1 : 0;
            std::this_thread::sleep_for(20ms);
        }
        CHECK(served >= sent - 1);
        CHECK(system.journal().at("unwanted_arrivals").to_number<int>() <= allowed_unwanted);
    }
    SUBCASE("and if all say so, callers are told when to come back")
    {
        std::string method = "GET";
        std::string target = "/look/1";
        SUBCASE("in a plain service") {}
        SUBCASE("in a pipeline")
        {
            method = "POST";
            target = "/chat/1";
        }
        system.control({{"refuse_work", "i-"}, {"refuse_ms", 2000}});
        int sent = 0;
        double least = 60;
        for (; std::chrono::steady_clock::now() < end - 500ms; ++sent)
        {
            const auto response = send(method, target, sent);
            if (response.m_status == 200 && sent > 0)
                break; // It waited until work was wanted.
            REQUIRE(response.m_status == 503);
            const auto retry_after = find_field(response.m_fields, "Retry-After");
            REQUIRE(retry_after);
            const std::chrono::duration<double> left = end - std::chrono::steady_clock::now();
            // The first calls find out that no endpoint wants work.
            if (sent >= 3)
                least = std::min(least, std::stod(std::string(*retry_after)) - left.count());
            std::this_thread::sleep_for(20ms);
        }
        CHECK(sent > 3);
        CHECK(least > -0.1);
        CHECK(system.journal().at("unwanted_arrivals").to_number<int>() <= 6 * allowed_unwanted);
        CHECK(wait_until([&] { return send(method, target, ++sent).m_status == 200; }, 3s));
    }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("reported_faults");

namespace
{

std::string refusal_of(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nFulmaryard-Attempt-Id: {}\r\n"
        "Fulmaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        call);
}

/// Begin of a success, without the end of its head.
std::string success_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n",
        call);
}

std::string success_of(const std::string& call)
{
    return success_head(call) + "Content-Length: 4\r\n\r\ndone";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: x\n\n", id);
    return text;
}

std::string chunk(const std::string& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

} // namespace

TEST_CASE("an endpoint that writes an earlier refusal again on a kept connection")
{
    // Guards against a caller who is told that a call has not run while an endpoint runs it.
    std::string refused;
    std::map<std::string, int> runs;
    scripted_endpoint endpoint(
        [&](const std::string& call, int earlier) -> scripted_endpoint::reply
        {
            if (refused.empty() && call.starts_with("refused"))
                return {refusal_of(refused = call), false};
            ++runs[call];
            const bool repeats = earlier > 0 && !refused.empty();
            return {(repeats ? refusal_of(refused) : "") + success_of(call), false};
        });
    router_system system(4, 0);
    system.add_endpoint("scripted", endpoint, std::nullopt);
    system.start_router("router-1");
    const test_client client(system.address("router-1"));
    std::string method = "POST";
    std::string target = "/orders/1";
    SUBCASE("for a call that may run once") {}
    SUBCASE("for a call that may be repeated")
    {
        method = "GET";
        target = "/look/1";
    }
    const auto first = client.send(router_system::make_request(method, target, "refused-1"));
    REQUIRE(first.ok());
    CHECK(runs["refused-1"] <= 1);
    CHECK((first->m_status == 503) == (runs["refused-1"] == 0));
    const auto next = client.send(router_system::make_request(method, target, "next-1"));
    REQUIRE(next.ok());
    CHECK(next->m_status == 200);
    CHECK(next->m_body == "done");
    CHECK(runs["next-1"] == 1);
}

TEST_CASE("an endpoint that stops in the middle of its answer's head")
{
    // Guards against a success with a short body that looks complete.
    scripted_endpoint endpoint(
        [](const std::string& call, int) -> scripted_endpoint::reply {
            return {success_head(call) + "Content-Le", true};
        });
    router_system system(0, 0);
    system.add_endpoint("scripted", endpoint, std::nullopt);
    system.add_endpoint("first", endpoint, layer_range{0, 6});
    system.add_endpoint("second", endpoint, layer_range{6, 12});
    system.start_router("router-1");
    for (const std::string target : {"/orders/1", "/chat/1"})
    {
        CAPTURE(target);
        const auto id = "call" + target.substr(1, 4);
        const auto response = test_client(system.address("router-1"))
                                  .send(router_system::make_request("POST", target, id));
        CHECK(endpoint.arrivals(id) >= 1);
        CHECK((!response.ok() || response->m_status == 502));
    }
}

TEST_CASE("a stream that broke off after its beginning")
{
    // Guards against the error of the next endpoint in the middle of a stream, and against a stream
    // that ends as if it were complete.
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    std::string next_answer = "HTTP/1.1 500 Oops\r\nFulmaryard-Attempt-Id: "
                              "call-1\r\nContent-Length: 10\r\n\r\nerror text";
    SUBCASE("and whose next endpoint answers with an error") {}
    SUBCASE("and whose next endpoint answers with an error of its own without length")
    {
        next_answer = "HTTP/1.1 500 Oops\r\nFulmaryard-Attempt-Id: call-1\r\n\r\nerror text";
    }
    SUBCASE("and whose next endpoint closes an answer without length before an event")
    {
        next_answer = success_head("call-1") + "\r\n";
    }
    int calls = 0;
    const auto script = [&](const std::string& call, int) -> scripted_endpoint::reply
    {
        if (++calls == 1)
            return {success_head(call) + chunked + chunk(events(1, 3)), true};
        return {next_answer, true};
    };
    scripted_endpoint one(script);
    scripted_endpoint other(script);
    scripted_endpoint last(script);
    router_system system(0, 0);
    system.add_endpoint("one", one, layer_range{0, 6});
    system.add_endpoint("other", other, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    raw_connection caller(system.address("router-1"));
    caller.send("POST /chat/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: call-1\r\n"
                "Fulmaryard-Deadline-Ms: 8000\r\nFulmaryard-Token-Usage: 10,100\r\n"
                "Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n");
    const auto answer = caller.receive();
    CHECK(calls == 2);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("id: 3\n") != std::string::npos);
    CHECK(answer.find("error text") == std::string::npos);
    CHECK(answer.find("500 Oops") == std::string::npos);
    // The last chunk would mark the stream as complete.
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("a stream without a length that ends with its connection")
{
    // Guards against a stream that broke off and is taken for complete, and the reverse.
    std::string body;
    bool complete = false;
    SUBCASE("after an event is complete")
    {
        body = events(1, 3);
        complete = true;
    }
    SUBCASE("inside an event has broken off")
    {
        body = events(1, 3) + "id: 4\nda";
    }
    SUBCASE("before any event has broken off") {}
    const auto script = [&](const std::string& call, int) -> scripted_endpoint::reply {
        return {success_head(call) + "\r\n" + body, true};
    };
    scripted_endpoint one(script);
    scripted_endpoint last(script);
    router_system system(0, 0);
    system.add_endpoint("one", one, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request("POST", "/chat/1", "call-1"));
    CHECK(one.arrivals("call-1") >= 1);
    CHECK((response.ok() && response->m_status == 200) == complete);
}

TEST_SUITE_END();
