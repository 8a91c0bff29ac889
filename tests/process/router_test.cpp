#include "process/event_stream.hpp"
#include "process/raw_connection.hpp"
#include "process/router_system.hpp"

#include <fulmaryard/failure.hpp>

#include <csignal>
#include <future>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

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

TEST_CASE("outcome of streams whose callers disconnect after the last event")
{
    // Guards against a stream that is counted as left by its caller although it was answered whole.
    router_system system;
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    constexpr int streams = 100;
    const test_client client(system.address("router-1"));
    for (int i = 0; i < streams; ++i)
    {
        auto request = router_system::make_request("POST", "/chat/1", fmt::format("short-{}", i));
        request.m_fields[2].m_value = "10,2";
        const auto response = client.send(request);
        REQUIRE(response.ok());
        REQUIRE(response->m_status == 200);
    }
    const auto answered =
        fmt::format("fulmaryard_router_streams_total{{outcome=\"answered\"}} {}\n", streams + 1);
    CHECK(wait_until(
        [&] { return system.metrics("router-1").find(answered) != std::string::npos; }, 1s));
    CHECK(
        system.metrics("router-1")
            .find("fulmaryard_router_streams_total{outcome=\"caller_left\"}") == std::string::npos);
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
