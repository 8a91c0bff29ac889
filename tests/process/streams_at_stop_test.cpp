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

TEST_SUITE_END();
