#include "process/router_system.hpp"

#include <algorithm>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("restored_store");

namespace
{

// Longest time from a change of the state in the store to its effect at a router.
constexpr auto apply_limit = 2'000ms;

/// A store of which a copy was saved and that has changed since.
struct changed_store
{
    changed_store(router_system& tested, std::string router_name)
        : m_system(tested),
          m_router(std::move(router_name))
    {
        m_system.control({{"save_copy", true}});
    }

    unsigned status(const std::string& key)
    {
        const auto request = router_system::make_request(
            "GET", "/look/1", fmt::format("{}-{}", key, ++m_requests), key);
        const auto response = test_client(m_system.address(m_router)).send(request);
        return response.ok() ? response->m_status : 0;
    }

    /// Writes a configuration with all keys added so far.
    void add_key(const std::string& key)
    {
        m_keys.emplace_back(key);
        m_system.control({{"keys", m_keys}});
    }

    /// Whether a request with the key is served in time.
    bool in_force(const std::string& key)
    {
        return wait_until([&] { return status(key) == 200; }, apply_limit);
    }

    router_system& m_system;
    std::string m_router;
    json::array m_keys{"secret"};
    int m_requests{0};
};

} // namespace

TEST_CASE("a configuration and a store that comes back from an older copy")
{
    // Guards against versions that a router takes for old, since revisions are given out again, and
    // against a return to the configuration of the copy.
    router_system system(0, 2);
    system.start_router("router-1");
    changed_store store(system, "router-1");
    // More changes than the store makes in the rest of the test.
    for (int i = 0; i < 500; ++i)
        store.add_key("filler");
    store.add_key("third");
    REQUIRE(store.in_force("third"));

    SUBCASE("that was down for a moment")
    {
        system.control({{"store_down", true}});
        std::this_thread::sleep_for(1s);
    }
    SUBCASE("without an outage that the router notices") {}
    SUBCASE("twice")
    {
        system.control({{"restore_copy", true}});
        store.add_key("between");
        CHECK(store.in_force("between"));
    }
    system.control({{"restore_copy", true}});
    const auto end = std::chrono::steady_clock::now() + apply_limit;
    bool kept = true;
    while (std::chrono::steady_clock::now() < end)
    {
        kept = kept && store.status("third") == 200;
        std::this_thread::sleep_for(20ms);
    }
    CHECK(kept);
    store.add_key("fourth");
    CHECK(store.in_force("fourth"));
    CHECK(store.status("third") == 200);
}

TEST_CASE("an endpoint that left before a store came back from an older copy")
{
    // Guards against requests to an endpoint that only the restored entry names.
    router_system system(0, 2);
    system.start_router("router-1");
    system.control({{"save_copy", true}});
    system.control({{"drain", "i-0"}});
    auto answered_by = [&, count = 0]() mutable -> std::string
    {
        const auto request =
            router_system::make_request("GET", "/look/1", fmt::format("call-{}", ++count));
        const auto response = test_client(system.address("router-1")).send(request);
        if (!response.ok() || response->m_status != 200)
            return "nobody";
        return std::string(
            find_field(response->m_fields, "Fulmaryard-Response-Signature").value_or(""));
    };
    std::this_thread::sleep_for(apply_limit);
    SUBCASE("while it was listed as leaving") {}
    SUBCASE("after its entry was removed")
    {
        system.control({{"forget", "i-0"}});
        std::this_thread::sleep_for(apply_limit);
    }
    system.control({{"restore_copy", true}});
    std::map<std::string, int> answers;
    const auto end = std::chrono::steady_clock::now() + apply_limit;
    while (std::chrono::steady_clock::now() < end)
    {
        ++answers[answered_by()];
        std::this_thread::sleep_for(10ms);
    }
    CHECK(answers["i-1"] > 0);
    CHECK(answers["i-0"] == 0);
    CHECK(answers["nobody"] == 0);
    CHECK(system.journal().at("late_arrivals").as_array().empty());
}

TEST_CASE("an endpoint that registered after the copy from which a store came back")
{
    // Guards against the loss of live endpoints until they have registered again.
    scripted_endpoint endpoint(
        [](const std::string& call, int) -> scripted_endpoint::reply
        {
            return {
                fmt::format(
                    "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\n"
                    "Fulmaryard-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
                    call),
                false};
        });
    router_system system(0, 0);
    system.start_router("router-1");
    changed_store store(system, "router-1");
    system.add_endpoint("scripted", endpoint, std::nullopt);
    REQUIRE(store.in_force("secret"));
    system.control({{"restore_copy", true}});
    bool served = true;
    const auto registered_again = std::chrono::steady_clock::now() + 1'500ms;
    while (std::chrono::steady_clock::now() < registered_again)
    {
        served = served && store.status("secret") == 200;
        std::this_thread::sleep_for(20ms);
    }
    system.add_endpoint("scripted", endpoint, std::nullopt);
    const auto end = std::chrono::steady_clock::now() + 2'500ms;
    while (std::chrono::steady_clock::now() < end)
    {
        served = served && store.status("secret") == 200;
        std::this_thread::sleep_for(20ms);
    }
    CHECK(served);
}

TEST_CASE("routers and a store that comes back from an older copy")
{
    // Guards against routers that no longer know of each other, since the answer to a write does
    // not say that its effect has lasted.
    router_system system(0, 2);
    system.control({{"save_copy", true}});
    system.start_router("router-1");
    system.start_router("router-2");
    const auto all_registered = [&] { return system.objects("fulmaryard-routers").size() == 2; };
    REQUIRE(wait_until(all_registered));
    system.control({{"restore_copy", true}});
    REQUIRE_FALSE(all_registered());
    CHECK(wait_until(all_registered, 5s));
}

TEST_CASE("the placement of layers and a store that comes back from an older copy")
{
    // Guards against a holder of the lease that never writes its plan again.
    router_system system(4, 0);
    system.start_router("router-1");
    SUBCASE("with a lease and a plan in the copy")
    {
        REQUIRE(wait_until([&] { return system.serves("router-1"); }));
        system.control({{"save_copy", true}});
    }
    SUBCASE("with neither in the copy") {}
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    std::this_thread::sleep_for(1s);
    system.control({{"restore_copy", true}});
    std::this_thread::sleep_for(500ms);
    // What endpoints wrote is written again; two that start anew have to be given layers.
    for (const std::string id : {"i-0", "i-1", "i-2", "i-3"})
    {
        system.control({{"kill", id}});
        system.control({{"revive", id}});
    }
    CHECK(wait_until([&] { return system.serves("router-1"); }, 10s));
}

TEST_SUITE_END();
