#include "process/router_system.hpp"

#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

namespace
{

/// A request whose prompt has the shared `parts`, followed by one of its own.
http_request make_request(const std::string& id, const std::string& parts)
{
    auto request = router_system::make_request("POST", "/chat/1", id);
    request.m_fields[2].m_value = "10,5";
    request.m_fields.push_back({"Fulmaryard-Prompt-Prefix", parts + ",own" + id + ":4"});
    return request;
}

} // namespace

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

TEST_CASE("sound requests that share a part with three in a row that crash endpoints")
{
    // Guards against the refusal of sound requests because no answer to one of them came between
    // the crashes.
    router_system system(10);
    system.start_router("router-1");
    REQUIRE(wait_until([&] { return system.serves("router-1"); }));
    system.control({{"crash_part", "dead"}});
    const auto send = [&](const std::string& id, const std::string& parts)
    {
        const auto response = test_client(system.address("router-1")).send(make_request(id, parts));
        return response.ok() && response->m_status == 200;
    };
    bool shared_was_answered = true;
    SUBCASE("and whose part was answered before") {}
    SUBCASE("and whose part is new")
    {
        shared_was_answered = false;
    }
    // Without other answers, a few crashes would prove little.
    for (int i = 0; i < 30; ++i)
        REQUIRE(send(fmt::format("other-{}", i), "other:4"));
    if (shared_was_answered)
        REQUIRE(send("shared", "shared:4"));
    for (int i = 0; i < 3; ++i)
    {
        CHECK_FALSE(send(fmt::format("dead-{}", i), "shared:4,dead:2"));
        std::this_thread::sleep_for(100ms);
    }
    CHECK(system.journal().at("crash_times").as_array().size() == 3);
    int served = 0;
    for (int i = 0; i < 20; ++i)
    {
        served += send(fmt::format("sound-{}", i), "shared:4") ? 1 : 0;
        CHECK_FALSE(send(fmt::format("dead-{}", 10 + i), "shared:4,dead:2"));
    }
    CHECK(served >= 18);
    CHECK(system.journal().at("crash_times").as_array().size() == 3);
}

TEST_SUITE_END();
