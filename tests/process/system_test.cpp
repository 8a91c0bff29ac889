#include "process/test_requests.hpp"
#include "process/test_system.hpp"
#include "standins/reference_model.hpp"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace json = boost::json;

TEST_SUITE_BEGIN("system");

TEST_CASE("a complete system answers completions and orders")
{
    // Guards against components that work separately but not together: settings, configuration,
    // engine protocol and peer links.
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
        const auto answer = test_client::complete({entries[entry]}, make_chat("shop", content, 20));
        REQUIRE(answer.ok());
        CHECK(
            answer->m_text ==
            standins::compute_reference(test_system::chat_prompt(content), 12, 20).m_text);
    }
    // Each prompt has 5 words; the last of the 20 generated tokens is not fed back as input.
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

TEST_SUITE_END();
