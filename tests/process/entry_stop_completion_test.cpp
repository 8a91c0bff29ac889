#include "process/test_requests.hpp"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("entry_stop_completion");

TEST_CASE("a completion without events that is produced when a stopping entry has to exit")
{
    // Guards against a caller who gets no answer at the end of a planned stop.
    test_system system;
    system.add_engine("engine", {0, 6}, 6);
    system.add_engine_side("side", "engine", "domain-1");
    system.add_entry("entry", "domain-1", "drain_limit_ms: 1500\n");
    REQUIRE(system.apply("entry", system.make_configuration("kitwerk", {"shop"})) == 0);
    REQUIRE(system.wait_ready("entry").ok());
    REQUIRE(wait_live(system, "entry", 1));
    auto request = make_chat("shop", "endless", 4096);
    const std::string flag = R"("stream":true)";
    request.m_body.replace(request.m_body.find(flag), flag.size(), R"("stream":false)");
    auto answer =
        std::async(std::launch::async, [&] { return system.client("entry").send(request, 20s); });
    std::this_thread::sleep_for(500ms);
    system.terminate("entry");
    CHECK(answer.get().ok());
}

TEST_SUITE_END();
