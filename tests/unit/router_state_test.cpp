#include <fulmaryard/endpoint_health.hpp>
#include <fulmaryard/endpoint_membership.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_plan.hpp>
#include <fulmaryard/lease_holder.hpp>
#include <fulmaryard/request_room.hpp>
#include <fulmaryard/retry_budget.hpp>
#include <fulmaryard/routing_table.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};

endpoint_record make_record(const std::string& id, bool leaving = false)
{
    endpoint_record record;
    record.m_id = id;
    record.m_service = "model";
    record.m_address = "10.0.0.1:80";
    record.m_failure_domain = "a";
    record.m_started_ms = 1;
    record.m_leaving = leaving;
    return record;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("endpoints that the platform lists")
{
    // Guards against live endpoints that are dropped because their entries lapsed while the store
    // was down, and against dead ones that are kept after it returned.
    endpoint_membership membership;
    membership.on_listing({make_record("one"), make_record("two")}, start);
    REQUIRE(membership.endpoints().size() == 2);

    SUBCASE("are gone as soon as a reachable store says so")
    {
        membership.on_removed("one", start);
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
    SUBCASE("are gone when a new listing lacks them")
    {
        membership.on_listing({make_record("two")}, start);
        CHECK(membership.endpoints().size() == 1);
    }
    SUBCASE("stay while the store is away")
    {
        membership.on_store_lost(start);
        membership.on_removed("one", start + 1s);
        CHECK_FALSE(membership.on_tick(start + 20s));
        CHECK(membership.endpoints().contains("one"));

        SUBCASE("and are kept if they are listed again in time")
        {
            membership.on_store_back(start + 30s);
            membership.on_changed(make_record("one"));
            CHECK_FALSE(membership.on_tick(start + 40s));
            CHECK(membership.endpoints().contains("one"));
        }
        SUBCASE("and are gone if they are not")
        {
            membership.on_store_back(start + 30s);
            CHECK_FALSE(membership.on_tick(start + 32s));
            CHECK(membership.on_tick(start + 33s));
            CHECK_FALSE(membership.endpoints().contains("one"));
        }
    }
    SUBCASE("get the same grace when the removal arrives just after the store's return")
    {
        membership.on_store_lost(start);
        membership.on_store_back(start + 10s);
        membership.on_removed("one", start + 11s);
        CHECK(membership.endpoints().contains("one"));
        CHECK(membership.on_tick(start + 13s));
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
    SUBCASE("get no grace when they had said that they leave")
    {
        membership.on_changed(make_record("one", true));
        membership.on_store_lost(start);
        membership.on_removed("one", start + 1s);
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
}

TEST_CASE("an endpoint that does not answer")
{
    // Guards against new work for a silent endpoint, and against a suspicion that outlives the run
    // that caused it.
    endpoint_health health;
    CHECK(health.suspect("one", 1, start));
    CHECK_FALSE(health.suspect("one", 1, start));
    CHECK(health.suspected("one", 1, start + 1h));

    SUBCASE("is trusted again when it starts anew")
    {
        CHECK_FALSE(health.suspected("one", 2, start));
    }
    SUBCASE("is asked once an interval and trusted again when it answers")
    {
        CHECK(health.due_for_probe(start).empty());
        CHECK(health.due_for_probe(start + 500ms) == std::vector<std::string>{"one"});
        CHECK(health.due_for_probe(start + 600ms).empty());
        CHECK(health.clear("one"));
        CHECK_FALSE(health.suspected("one", 1, start));
    }
    SUBCASE("is suspected on the word of another router only while that repeats it")
    {
        health.on_peer_suspicion("two", 1, start);
        CHECK(health.suspected("two", 1, start + 1s));
        CHECK_FALSE(health.suspected("two", 1, start + 2s));
        CHECK(health.own().size() == 1);
    }
}

TEST_CASE("room that requests hold")
{
    // Guards against room that is counted twice or never given back, and against that of routers
    // that have ended.
    request_room room;
    const std::vector<path_hop> path{{"one", "", {0, 30}}, {"two", "", {30, 80}}};
    room.take(path, 100, 20);
    room.take(path, 10);
    CHECK(room.use("one", start) == request_room::endpoint_use{3300, 600, 2, 2});
    CHECK(room.use("two", start) == request_room::endpoint_use{5500, 1000, 0, 2});
    room.on_peer_report("other", {{"two", {500, 7, 1, 1}}}, start);
    CHECK(room.use("two", start + 1s) == request_room::endpoint_use{6000, 1007, 1, 3});
    CHECK(room.use("two", start + 2s) == request_room::endpoint_use{5500, 1000, 0, 2});
    room.on_read(path, 15);
    CHECK(room.use("one", start).m_unread == 150);
    room.release(path, 100, 5);
    room.release(path, 10);
    CHECK(room.own().empty());
}

TEST_CASE("the routes of a configuration")
{
    // Guards against a request that a shorter prefix or another host takes.
    routing_configuration configuration;
    configuration.m_version = 7;
    service_route route;
    route.m_host = "shop.example";
    route.m_path_prefix = "/orders/";
    route.m_services = {{"orders", 1}};
    configuration.m_routes.push_back(route);
    route.m_path_prefix = "/orders/new/";
    route.m_services = {{"blue", 90}, {"green", 10}};
    configuration.m_routes.push_back(route);
    configuration.m_accounts = {{"kitwerk", {"key-1", "key-2"}, std::nullopt}};
    const routing_table table(configuration);
    CHECK(table.find_route("shop.example", "/orders/1")->m_path_prefix == "/orders/");
    const auto* longest = table.find_route("shop.example", "/orders/new/1");
    CHECK(longest->m_path_prefix == "/orders/new/");
    CHECK(table.find_route("other.example", "/orders/1") == nullptr);
    CHECK(table.find_route("shop.example", "/order") == nullptr);
    CHECK(table.choose_service(*longest, 89) == "blue");
    CHECK(table.choose_service(*longest, 90) == "green");
    CHECK(table.choose_service(*longest, 189) == "blue");
    CHECK(table.find_account("key-2")->m_name == "kitwerk");
    CHECK(table.find_account("key-3") == nullptr);
}

TEST_CASE("a plan of layers reads back as it was written")
{
    // Guards against a successor that goes on from another plan than the one that was stored.
    layer_plan plan;
    plan.m_epoch = 3;
    plan.m_endpoints["one"] = {1770553709100, {{0, 17}, 15}};
    plan.m_endpoints["two"] = {1770553709101, {}};
    const auto decoded = decode_layer_plan(encode_layer_plan(plan));
    REQUIRE(decoded.ok());
    CHECK(*decoded == plan);
    for (const auto* text : {"", "[]", "{}", R"({"epoch":1,"endpoints":{"one":[1]}})"})
        CHECK_FALSE(decode_layer_plan(text).ok());
}

TEST_CASE("a retry budget with its own ratio and floor")
{
    // Guards against several routers that together retry more than the services can bear.
    retry_budget budget({20, 3});
    for (int i = 0; i < 10; ++i)
        budget.on_request(start);
    int granted = 0;
    while (budget.try_retry(start))
        ++granted;
    CHECK(granted == 5);
}

TEST_CASE(
    "a candidate polls a lease with reads that may be old, and settles writes with fresh ones")
{
    // Guards against a lost answer that is settled by an old read.
    lease_holder_settings settings;
    settings.m_process = "one";
    settings.m_stale_polls = true;
    lease_holder holder(settings);
    const auto first = holder.on_tick(start);
    REQUIRE(first);
    CHECK(std::get<read_lease>(*first).m_stale_allowed);
    const auto write = holder.on_read(platform_object{}, start);
    REQUIRE(write);
    const auto unknown =
        make_failure(failure_kind::platform_unavailable, "no answer", dispatch_progress::sent);
    const auto settle = holder.on_written(unknown, start);
    REQUIRE(settle);
    CHECK_FALSE(std::get<read_lease>(*settle).m_stale_allowed);
}

TEST_SUITE_END();
