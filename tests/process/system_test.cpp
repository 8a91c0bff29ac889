#include "process/test_system.hpp"
#include "standins/reference_model.hpp"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace json = boost::json;

namespace
{

http_request chat(const std::string& account, const std::string& content, int max_tokens)
{
    return {
        "POST",
        "/v1/chat/completions",
        {{"Authorization", "Bearer " + test_system::bearer(account)},
         {"Content-Type", "application/json"}},
        fmt::format(
            R"({{"model":"standin-model","stream":true,"max_tokens":{},)"
            R"("messages":[{{"role":"user","content":"{}"}}]}})",
            max_tokens, content)};
}

} // namespace

TEST_SUITE_BEGIN("system");

TEST_CASE("a whole system answers completions and orders")
{
    // Guards against parts that work alone and not together: settings, configuration, engine
    // protocol and peer links.
    test_system system;
    system.add_engine("engine-1", {0, 5}, 12);
    system.add_engine("engine-2", {5, 12}, 12);
    system.add_engine_side("side-1", "engine-1", "domain-1");
    system.add_engine_side("side-2", "engine-2", "domain-2");
    system.add_worker("worker");
    system.add_worker_side("side-3", "worker", "orders", "domain-3");
    system.add_entry("entry-1", "domain-1");
    system.add_entry("entry-2", "domain-2");
    REQUIRE(system.apply("entry-1", system.make_configuration("kitwerk", {"shop"})) == 0);
    const std::vector<std::string> entries{system.address("entry-1"), system.address("entry-2")};
    REQUIRE(system.wait_ready("entry-1").ok());
    REQUIRE(system.wait_ready("entry-2").ok());

    for (std::size_t entry = 0; entry < entries.size(); ++entry)
    {
        const std::string content = fmt::format("plasters for entry {}", entry);
        const auto answer = test_client::complete({entries[entry]}, chat("shop", content, 20));
        REQUIRE(answer.ok());
        CHECK(
            answer->m_text ==
            standins::compute_reference(test_system::chat_prompt(content), 12, 20).m_text);
    }
    // Each prompt has 5 words, and the last of its 20 tokens is no input.
    for (const char* engine : {"engine-1", "engine-2"})
    {
        const json::value journal = system.client(engine).get_json("/journal");
        CHECK(journal.at("runs").as_array().size() == 2 * (5 + 19));
    }
    const auto order = system.client("entry-1").post(
        "/orders", R"({"kit": "first aid"})",
        {{"Authorization", "Bearer " + test_system::bearer("shop")}, {"Idempotency-Key", "k1"}});
    REQUIRE(order.ok());
    CHECK(order->m_status == 201);
    CHECK(system.client("worker").get_json("/orders").at("orders").as_array().size() == 1);
}

TEST_CASE("an entry with bounded links serves while the endpoints that it is linked to are lost")
{
    // Guards against a bound that leaves a stage unserved, and against side processes that go on
    // reporting to an entry that has let them go.
    test_system system;
    std::string file; // Written when one engine runs all layers, so that there is one stage.
    for (const char* number : {"1", "2", "3"})
    {
        const std::string engine = std::string("engine-") + number;
        system.add_engine(engine, {0, 12}, 12);
        system.add_engine_side(std::string("side-") + number, engine, "domain-1");
        if (file.empty())
            file = system.make_configuration("kitwerk", {"shop"});
    }
    system.add_entry("entry-1", "domain-1", "links_per_stage: 1\n");
    REQUIRE(system.apply("entry-1", file) == 0);
    REQUIRE(system.wait_ready("entry-1").ok());
    const auto live = [&]
    {
        std::vector<std::string> addresses;
        const test_client peers(system.control("entry-1"));
        const json::value state = peers.get_json("/dump");
        for (const auto& each : state.at("endpoints").as_array())
        {
            if (each.at("state").as_string() == "live")
                addresses.emplace_back(each.at("address").as_string());
        }
        return addresses;
    };
    const auto wait_for_one = [&](const std::string& other_than)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
        auto found = live();
        while ((found.size() != 1 || found[0] == other_than) &&
               std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            found = live();
        }
        return found;
    };
    std::string lost;
    for (int round = 0; round < 3; ++round)
    {
        const auto linked = wait_for_one(lost);
        REQUIRE(linked.size() == 1);
        const std::string content = fmt::format("plasters {}", round);
        const auto answer =
            test_client::complete({system.address("entry-1")}, chat("shop", content, 20));
        REQUIRE(answer.ok());
        CHECK(
            answer->m_text ==
            standins::compute_reference(test_system::chat_prompt(content), 12, 20).m_text);
        lost = linked[0];
        for (const char* side : {"side-1", "side-2", "side-3"})
        {
            if (system.address(side) == lost)
                system.kill(side);
        }
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!live().empty() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(live().empty());
}

TEST_SUITE_END();
