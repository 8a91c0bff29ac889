#include "process/router_system.hpp"

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

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
