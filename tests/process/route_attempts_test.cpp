#include "process/router_system.hpp"

#include <atomic>
#include <vector>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("route_attempts");

namespace
{

std::string begun_stream(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        call);
}

/// Endpoints that hold the first half of the layers, with a sound one for the second half.
struct first_endpoints
{
    explicit first_endpoints(const scripted_endpoint::script& script) : m_last(script)
    {
        for (int i = 0; i < 5; ++i)
            m_firsts.push_back(std::make_unique<scripted_endpoint>(script));
    }

    void list_at(const router_system& system)
    {
        for (std::size_t i = 0; i < m_firsts.size(); ++i)
            system.add_endpoint(fmt::format("first-{}", i), *m_firsts[i], layer_range{0, 6});
        system.add_endpoint("last", m_last, layer_range{6, 12});
    }

    /// Number of endpoints at which the call arrived.
    int reached(const std::string& call) const
    {
        int count = 0;
        for (const auto& first : m_firsts)
            count += first->arrivals(call) > 0 ? 1 : 0;
        return count;
    }

    std::vector<std::unique_ptr<scripted_endpoint>> m_firsts;
    scripted_endpoint m_last;
};

// Of the route in the stand-in's configuration.
constexpr int route_attempts = 2;

} // namespace

TEST_CASE("a stream whose endpoints do not finish it")
{
    // Guards against a request that runs on more endpoints than its route allows because earlier
    // ones are taken for lost. All endpoints here are alive and have run it.
    bool closes = false;
    auto reports = scripted_endpoint::report_mode::answered;
    SUBCASE("and are silent") {}
    SUBCASE("and are silent, also to load queries")
    {
        reports = scripted_endpoint::report_mode::silent;
    }
    SUBCASE("and are silent, and close the connections of load queries")
    {
        reports = scripted_endpoint::report_mode::closed;
    }
    SUBCASE("and break it off, and are silent to load queries")
    {
        closes = true;
        reports = scripted_endpoint::report_mode::silent;
    }
    SUBCASE("and break it off, and close the connections of load queries")
    {
        closes = true;
        reports = scripted_endpoint::report_mode::closed;
    }
    first_endpoints endpoints(
        [&](const std::string& call, int) -> scripted_endpoint::reply {
            return {closes ? begun_stream(call) : "", closes};
        });
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    for (const auto& first : endpoints.m_firsts)
        first->set_reports(reports);
    auto request = router_system::make_request("POST", "/chat/1", "call-1");
    request.m_fields.push_back({"Fulmaryard-Prompt-Prefix", "shared:4,own:6"});
    std::ignore = test_client(system.address("router-1")).send(request);
    CHECK(endpoints.reached("call-1") >= 1);
    CHECK(endpoints.reached("call-1") <= route_attempts);
}

TEST_CASE("a stream that one endpoint fails and the others refuse")
{
    // Guards against an endpoint's own error that its caller does not get, since the request may be
    // repeated and no other endpoint takes it.
    std::atomic<int> calls{0};
    first_endpoints endpoints(
        [&](const std::string& call, int) -> scripted_endpoint::reply
        {
            if (calls++ == 0)
            {
                return {fmt::format(
                    "HTTP/1.1 500 Oops\r\nFulmaryard-Attempt-Id: {}\r\nContent-Length: "
                    "4\r\n\r\nboom",
                    call)};
            }
            return {fmt::format(
                "HTTP/1.1 503 Busy\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Not-Executed: "
                "1\r\nContent-Length: 0\r\n\r\n",
                call)};
        });
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request("POST", "/chat/1", "call-1"));
    REQUIRE(response.ok());
    CHECK(response->m_status == 500);
    CHECK(response->m_body == "boom");
    CHECK(calls > 1);
}

TEST_CASE("a request on a kept connection that its endpoint closes as it ends")
{
    // Guards against a refusal that says "not run" of a request that an endpoint has read.
    scripted_endpoint* endpoint = nullptr;
    scripted_endpoint scripted(
        [&](const std::string& call, int) -> scripted_endpoint::reply
        {
            if (call.starts_with("last"))
            {
                endpoint->stop_listening();
                return {"", true};
            }
            return {begun_stream(call) + "9\r\nid: 1\nx\n\n\r\n0\r\n\r\n", false};
        });
    endpoint = &scripted;
    std::string method = "GET";
    std::string target = "/look/1";
    std::optional<layer_range> layers;
    SUBCASE("to a plain service") {}
    SUBCASE("for a stream")
    {
        method = "POST";
        target = "/chat/1";
        layers = layer_range{0, 6};
    }
    scripted_endpoint second([](const std::string&, int) { return scripted_endpoint::reply{}; });
    router_system system(0, 0);
    system.add_endpoint("second", second, layer_range{6, 12});
    system.add_endpoint("scripted", scripted, layers);
    system.start_router("router-1");
    const test_client client(system.address("router-1"));
    const auto first = client.send(router_system::make_request(method, target, "first"));
    REQUIRE(first.ok());
    REQUIRE(first->m_status == 200);
    const auto last = client.send(router_system::make_request(method, target, "last"));
    REQUIRE(last.ok());
    CHECK(scripted.arrivals("last") == 1);
    CHECK(last->m_status == 502);
}

TEST_CASE("a stream that may not be resumed and breaks off")
{
    // Guards against a stream that runs twice although it may run once.
    int calls = 0;
    bool closes_at_once = true;
    SUBCASE("before its answer begins") {}
    SUBCASE("after the head of its answer")
    {
        closes_at_once = false;
    }
    first_endpoints endpoints(
        [&](const std::string& call, int) -> scripted_endpoint::reply
        {
            ++calls;
            if (call == "sound")
                return {begun_stream(call) + "9\r\nid: 1\nx\n\n\r\n0\r\n\r\n", false};
            return {closes_at_once ? "" : begun_stream(call), true};
        });
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    const test_client client(system.address("router-1"));
    SUBCASE("on a new connection") {}
    SUBCASE("on a kept connection")
    {
        const auto sound = client.send(router_system::make_request("POST", "/once/1", "sound"));
        REQUIRE(sound.ok());
        REQUIRE(sound->m_status == 200);
    }
    calls = 0;
    const auto broken = client.send(router_system::make_request("POST", "/once/1", "broken"));
    CHECK(calls == 1);
    CHECK((!broken.ok() || broken->m_status == 502));
}

TEST_SUITE_END();
