#include "process/test_system.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace json = boost::json;

namespace
{

http_request order_request(const std::string& side_address)
{
    return {
        "POST",
        "/admin/orders",
        {{"Authorization", std::string("Bearer operator.") + test_system::m_administrator_secret}},
        fmt::format(
            R"({{"instance":"{}","kind":"load_adapter","args":{{"name":"nl"}}}})", side_address)};
}

absl::StatusOr<http_response>
send_order(const test_system& system, const std::string& entry, const std::string& side)
{
    const test_client client(system.control(entry));
    return client.send(order_request(system.address(side)), std::chrono::seconds(20));
}

std::int64_t epoch_of(const http_response& response)
{
    return json::parse(response.m_body).at("epoch").to_number<std::int64_t>();
}

} // namespace

TEST_SUITE_BEGIN("orders");

TEST_CASE("an administrator's order reaches the engine under one lease at a time")
{
    // Guards against orders that are sent without a lease, and against two entries that hold the
    // lease at the same time.
    test_system system;
    system.add_engine("engine", {0, 4}, 4);
    system.add_engine_side("side", "engine", "domain-1");
    system.add_entry("entry-1", "domain-1");
    system.add_entry("entry-2", "domain-2");
    REQUIRE(system.apply("entry-1", system.make_configuration("kitwerk", {"shop"})) == 0);
    REQUIRE(system.wait_ready("entry-1").ok());
    REQUIRE(system.wait_ready("entry-2").ok());

    const auto first = send_order(system, "entry-1", "side");
    REQUIRE(first.ok());
    REQUIRE_MESSAGE(first->m_status == 200, first->m_body);
    CHECK(epoch_of(*first) == 1);

    SUBCASE("another entry is refused while the first entry renews its lease")
    {
        const auto second = send_order(system, "entry-2", "side");
        REQUIRE(second.ok());
        CHECK(second->m_status == 409);
        CHECK(find_field(second->m_fields, "X-Fulmaryard-Outcome") == "not-run");
    }
    SUBCASE("after the first entry is killed, the other acquires the lease with the next epoch")
    {
        system.kill("entry-1");
        const auto second = send_order(system, "entry-2", "side");
        REQUIRE(second.ok());
        REQUIRE_MESSAGE(second->m_status == 200, second->m_body);
        CHECK(epoch_of(*second) == 2);
    }
    SUBCASE(
        "a holder that was paused until its lease expired cannot send orders with the old epoch")
    {
        system.pause("entry-1");
        const auto second = send_order(system, "entry-2", "side");
        REQUIRE(second.ok());
        REQUIRE_MESSAGE(second->m_status == 200, second->m_body);
        system.resume("entry-1");
        const auto late = send_order(system, "entry-1", "side");
        REQUIRE(late.ok());
        CHECK(late->m_status == 409);
    }
    SUBCASE("an unknown side process is refused")
    {
        const test_client client(system.control("entry-1"));
        const auto refused = client.send(order_request("127.0.0.1:1"));
        REQUIRE(refused.ok());
        CHECK(refused->m_status == 503);
    }
}

TEST_SUITE_END();
