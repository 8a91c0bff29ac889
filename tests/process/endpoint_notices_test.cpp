#include "process/router_system.hpp"

#include <algorithm>
#include <csignal>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

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
