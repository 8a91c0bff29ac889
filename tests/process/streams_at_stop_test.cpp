#include "process/router_system.hpp"

#include <csignal>
#include <future>
#include <set>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

namespace
{

/// A stream whose events come at an interval of about 15 ms, sent to `router`.
std::future<absl::StatusOr<http_response>> send_stream(
    const router_system& system, const std::string& router, const std::string& id, int events)
{
    auto request = router_system::make_request("POST", "/chat/1", id);
    request.m_fields[1].m_value = "30000";
    request.m_fields[2].m_value = fmt::format("10,{}", events);
    return std::async(
        std::launch::async, [request, address = system.address(router)]
        { return test_client(address).send(request, 20s); });
}

} // namespace

TEST_SUITE_BEGIN("streams_at_stop");

TEST_CASE("streams that arrive at a stopping router")
{
    // Guards against streams that are taken although the process ends before they do, and are cut
    // after seconds of their answer.
    constexpr int short_events = 30; // Half a second.
    constexpr int medium_events = 240;
    constexpr int long_events = 560; // Longer than the time to stop, within the route's timeout.
    router_system system;
    system.start_router("stopping");
    REQUIRE(wait_until([&] { return system.serves("stopping"); }));
    bool others = false;
    SUBCASE("while another router serves")
    {
        others = true;
    }
    SUBCASE("while no other router serves") {}
    if (others)
    {
        system.start_router("staying");
        REQUIRE(wait_until([&] { return system.serves("staying"); }));
        REQUIRE(wait_until(
            [&]
            {
                return system.metrics("stopping")
                           .find("fulmaryard_router_state{of=\"routers\"} 2\n") !=
                       std::string::npos;
            }));
    }
    // A few at a time: the endpoints have room for about ten streams.
    for (int round = 0; round < 7; ++round)
    {
        std::vector<std::future<absl::StatusOr<http_response>>> before;
        before.reserve(5);
        for (int i = 0; i < 5; ++i)
        {
            before.push_back(send_stream(
                system, "stopping", fmt::format("before-{}-{}", round, i), short_events));
        }
        for (auto& each : before)
        {
            const auto answer = each.get();
            REQUIRE(answer.ok());
            CHECK(answer->m_status == 200);
        }
    }

    system.process("stopping").kill(SIGTERM);
    REQUIRE(wait_until([&] { return !system.ready("stopping"); }));
    std::map<std::string, std::future<absl::StatusOr<http_response>>> answers;
    for (int second = 0; second < 4; ++second)
    {
        for (const auto& [kind, events] :
             {std::pair{"short", short_events}, std::pair{"medium", medium_events},
              std::pair{"long", long_events}})
        {
            const auto id = fmt::format("{}-{}", kind, second);
            answers[id] = send_stream(system, "stopping", id, events);
        }
        std::this_thread::sleep_for(1s);
    }
    std::set<std::string> refused;
    for (auto& [id, future] : answers)
    {
        const std::string& name = id;
        CAPTURE(name);
        const auto answer = future.get();
        if (name.starts_with("long") && !others)
            continue;
        // Each is answered whole, or refused before it ran.
        REQUIRE(answer.ok());
        if (answer->m_status == 200)
            continue;
        CHECK(answer->m_status == 503);
        CHECK(find_field(answer->m_fields, "Retry-After"));
        CHECK(system.runs(name) == 0);
        refused.insert(name);
    }
    for (int second = 0; second < 4; ++second)
    {
        CHECK_FALSE(refused.contains(fmt::format("short-{}", second)));
        CHECK(refused.contains(fmt::format("long-{}", second)) == others);
    }
    CHECK_FALSE(refused.contains("medium-0"));
    CHECK_FALSE(refused.contains("medium-1"));
    if (others)
    {
        const auto again = send_stream(system, "staying", "again", short_events).get();
        REQUIRE(again.ok());
        CHECK(again->m_status == 200);
    }
    const auto exit_code = system.process("stopping").wait(5s);
    REQUIRE(exit_code.ok());
    CHECK(*exit_code == 0);
}

TEST_CASE("a stream of a service without a pipeline that arrives late at a stopping router")
{
    // Guards against a stream that is taken because nearly all others of its route are short, and
    // is cut at the exit although its caller could have been sent to another router.
    constexpr auto long_pause = 5s;
    scripted_endpoint endpoint(
        [&](const std::string& call, int) -> scripted_endpoint::reply
        {
            const auto head = fmt::format(
                "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\n"
                "Fulmaryard-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                "Connection: close\r\n\r\nid: 1\ndata: x\n\n",
                call);
            const std::string rest = "id: 2\ndata: x\n\n";
            if (call.starts_with("long"))
                return {head, true, long_pause, rest};
            return {head + rest, true};
        });
    router_system system(0, 0);
    system.add_endpoint("plain", endpoint, std::nullopt);
    for (const std::string router : {"stopping", "staying"})
        system.start_router(router);
    const auto send = [&](const std::string& router, const std::string& id, int deadline_ms)
    {
        auto request = router_system::make_request("POST", "/feed-once/1", id);
        request.m_fields[1].m_value = std::to_string(deadline_ms);
        return std::async(
            std::launch::async, [request, address = system.address(router)]
            { return test_client(address).send(request, 20s); });
    };
    for (int i = 0; i < 60; ++i)
    {
        const auto answer = send("stopping", fmt::format("short-{}", i), 9'000).get();
        REQUIRE(answer.ok());
        CHECK(answer->m_status == 200);
    }
    // Keeps the router from an early exit.
    auto before = send("stopping", "long-before", 9'000);
    REQUIRE(wait_until([&] { return endpoint.arrivals("long-before") == 1; }));
    system.process("stopping").kill(SIGTERM);
    std::this_thread::sleep_for(3'300ms);

    const auto late = send("stopping", "long-late", 9'000).get();
    REQUIRE(late.ok());
    CHECK(late->m_status == 503);
    CHECK(find_field(late->m_fields, "Retry-After"));
    CHECK(endpoint.arrivals("long-late") == 0);
    // A deadline before the exit bounds any stream.
    const auto bounded = send("stopping", "short-late", 2'000).get();
    REQUIRE(bounded.ok());
    CHECK(bounded->m_status == 200);
    const auto again = send("staying", "long-again", 9'000).get();
    REQUIRE(again.ok());
    CHECK(again->m_status == 200);
    const auto answer = before.get();
    REQUIRE(answer.ok());
    CHECK(answer->m_status == 200);
}

TEST_SUITE_END();
