#include <fulmaryard/endpoint_health.hpp>
#include <fulmaryard/endpoint_membership.hpp>
#include <fulmaryard/endpoint_reservations.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_plan.hpp>
#include <fulmaryard/lease_holder.hpp>
#include <fulmaryard/retry_budget.hpp>
#include <fulmaryard/routing_table.hpp>
#include <fulmaryard/version_lag.hpp>

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

TEST_CASE("membership of the endpoints that the platform lists")
{
    // Guards against live endpoints that are dropped because their entries expired while the store
    // was unavailable, and against dead ones that are kept after it recovered.
    endpoint_membership membership;
    membership.on_listing({make_record("one"), make_record("two")}, start);
    REQUIRE(membership.endpoints().size() == 2);

    SUBCASE("are removed at once when a reachable store reports the removal")
    {
        membership.on_removed("one", start);
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
    SUBCASE("are removed when a new listing lacks them")
    {
        membership.on_listing({make_record("two")}, start);
        CHECK(membership.endpoints().size() == 1);
    }
    SUBCASE("stay while the store is unavailable")
    {
        membership.on_store_unavailable(start);
        membership.on_removed("one", start + 1s);
        CHECK_FALSE(membership.on_tick(start + 20s));
        CHECK(membership.endpoints().contains("one"));

        SUBCASE("and are kept if they are listed again within the grace period")
        {
            membership.on_store_recovered(start + 30s);
            membership.on_changed(make_record("one"));
            CHECK_FALSE(membership.on_tick(start + 40s));
            CHECK(membership.endpoints().contains("one"));
        }
        SUBCASE("and are removed if they are not")
        {
            membership.on_store_recovered(start + 30s);
            CHECK_FALSE(membership.on_tick(start + 32s));
            CHECK(membership.on_tick(start + 33s));
            CHECK_FALSE(membership.endpoints().contains("one"));
        }
    }
    SUBCASE("get the same grace period when the removal arrives just after the store recovered")
    {
        membership.on_store_unavailable(start);
        membership.on_store_recovered(start + 10s);
        membership.on_removed("one", start + 11s);
        CHECK(membership.endpoints().contains("one"));
        CHECK(membership.on_tick(start + 13s));
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
    SUBCASE("get no grace period when their entry was marked as leaving")
    {
        membership.on_changed(make_record("one", true));
        membership.on_store_unavailable(start);
        membership.on_removed("one", start + 1s);
        CHECK_FALSE(membership.endpoints().contains("one"));
    }
}

TEST_CASE("suspicion of an endpoint that does not answer")
{
    // Guards against new requests for an unresponsive endpoint, and against a suspicion that
    // persists after the endpoint was restarted.
    endpoint_health health;
    CHECK(health.suspect("one", 1, start));
    CHECK_FALSE(health.suspect("one", 1, start));
    CHECK(health.suspected("one", 1, start + 1h));

    SUBCASE("is cleared when the endpoint restarts")
    {
        CHECK_FALSE(health.suspected("one", 2, start));
    }
    SUBCASE("leads to one probe per interval and is cleared when the endpoint answers")
    {
        CHECK(health.take_due_probes(start).empty());
        CHECK(health.take_due_probes(start + 500ms) == std::vector<std::string>{"one"});
        CHECK(health.take_due_probes(start + 600ms).empty());
        CHECK(health.clear("one"));
        CHECK_FALSE(health.suspected("one", 1, start));
    }
    SUBCASE("that another router reports lasts only while the report is repeated")
    {
        health.on_peer_suspicion("two", 1, start);
        CHECK(health.suspected("two", 1, start + 1s));
        CHECK_FALSE(health.suspected("two", 1, start + 2s));
        CHECK(health.own().size() == 1);
    }
}

TEST_CASE("silence of an endpoint is evidence, not proof")
{
    // Guards against live endpoints that every router leaves out, and whose layers are loaded
    // elsewhere, because lost packets delayed their answers.
    const auto silence = suspicion_cause::silence;
    endpoint_health health;

    SUBCASE("counts at once for the router that observed it, and later as a loss")
    {
        CHECK(health.suspect("one", 1, start, silence));
        CHECK(health.suspected("one", 1, start));
        CHECK_FALSE(health.failed("one", 1, start));
        CHECK_FALSE(health.lost("one", 1, start + 1s));
        CHECK(health.lost("one", 1, start + endpoint_health::silence_until_lost));
        CHECK(health.own(suspicion_cause::failure).empty());
        CHECK(health.own(silence).size() == 1);

        SUBCASE("and a failure observed later is stronger")
        {
            CHECK(health.suspect("one", 1, start + 100ms));
            CHECK(health.lost("one", 1, start + 100ms));
        }
        SUBCASE("and ends when requests make progress there")
        {
            health.on_alive("one", start + 100ms);
            CHECK_FALSE(health.suspected("one", 1, start + 100ms));
        }
    }
    SUBCASE("does not count while requests make progress there")
    {
        health.on_alive("one", start);
        CHECK_FALSE(health.suspect("one", 1, start + 100ms, silence));
        CHECK_FALSE(health.suspected("one", 1, start + 100ms));
        CHECK(health.suspect("one", 1, start + endpoint_health::alive_lifetime, silence));
    }
    SUBCASE("does not end a suspicion because of a failure")
    {
        CHECK(health.suspect("one", 1, start));
        health.on_alive("one", start + 10ms);
        CHECK(health.lost("one", 1, start + 20ms));
    }
    SUBCASE("that other routers observed counts when several agree")
    {
        health.on_peer_silence("r1", "one", 1, start);
        health.on_peer_silence("r1", "one", 1, start + 200ms);
        health.on_peer_silence("r2", "one", 1, start + 200ms);
        CHECK_FALSE(health.suspected("one", 1, start + 200ms));
        health.on_peer_silence("r3", "one", 1, start + 300ms);
        CHECK(health.suspected("one", 1, start + 300ms));
        CHECK_FALSE(health.suspected("one", 2, start + 300ms));
        CHECK_FALSE(health.lost("one", 1, start + 300ms));
        CHECK_FALSE(health.suspected("one", 1, start + 2s));

        SUBCASE("unless requests of this router make progress there")
        {
            health.on_alive("one", start + 300ms);
            CHECK_FALSE(health.suspected("one", 1, start + 400ms));
        }
        SUBCASE("and is a loss while they keep agreeing")
        {
            for (auto now = start + 500ms; now <= start + 3s; now += 500ms)
            {
                for (const auto* router : {"r1", "r2", "r3"})
                    health.on_peer_silence(router, "one", 1, now);
            }
            CHECK(health.lost("one", 1, start + 3s));
        }
    }
}

TEST_CASE("a router whose watch went silent learns that it is behind")
{
    // Guards against a configuration that comes into force late, or an endpoint that leaves and
    // still gets work, because the connection of a watch was lost without a reset.
    version_lag lag;
    const known_versions own{5, 100};
    const lagging_state none{};
    const lagging_state configuration{true, false};
    const lagging_state endpoints{false, true};

    SUBCASE("not while routers learn of a change at slightly different times")
    {
        CHECK(lag.on_peer_versions(own, {6, 100}, start) == none);
        CHECK(lag.on_peer_versions(own, {6, 100}, start + 200ms) == none);
        CHECK(lag.on_peer_versions({6, 100}, {6, 100}, start + 400ms) == none);
        CHECK(lag.on_peer_versions({6, 100}, {5, 90}, start + 1s) == none);
    }
    SUBCASE("in the part that is behind")
    {
        CHECK(lag.on_peer_versions(own, {6, 100}, start) == none);
        CHECK(lag.on_peer_versions(own, {5, 100}, start + version_lag::tolerance) == configuration);
        CHECK(lag.on_peer_versions({6, 100}, {6, 101}, start + 3s) == none);
        CHECK(lag.on_peer_versions({6, 100}, {6, 101}, start + 4s) == endpoints);
    }
    SUBCASE("again while the reads do not succeed, at growing intervals")
    {
        CHECK(lag.on_peer_versions(own, {6, 100}, start) == none);
        const auto first = start + version_lag::tolerance;
        CHECK(lag.on_peer_versions(own, {6, 100}, first) == configuration);
        CHECK(lag.on_peer_versions(own, {6, 100}, first + version_lag::min_repeat / 2) == none);
        CHECK(
            lag.on_peer_versions(own, {6, 100}, first + version_lag::min_repeat) == configuration);
        CHECK(lag.on_peer_versions(own, {6, 100}, first + version_lag::min_repeat * 2) == none);
        CHECK(
            lag.on_peer_versions(own, {6, 100}, first + version_lag::min_repeat * 3) ==
            configuration);

        SUBCASE("and from the start after a read that did")
        {
            const auto later = first + version_lag::min_repeat * 4;
            CHECK(lag.on_peer_versions({6, 100}, {6, 100}, later) == none);
            CHECK(lag.on_peer_versions({6, 100}, {7, 100}, later) == none);
            CHECK(
                lag.on_peer_versions({6, 100}, {7, 100}, later + version_lag::tolerance) ==
                configuration);
        }
    }
}

TEST_CASE("endpoint reservations of requests")
{
    // Guards against reservations that are counted twice or never released, and against those of
    // routers that have exited.
    endpoint_reservations reservations;
    const std::vector<path_hop> path{{"one", "", {0, 30}}, {"two", "", {30, 80}}};
    reservations.take(path, 100, 20);
    reservations.take(path, 10);
    CHECK(reservations.use("one", start) == endpoint_reservations::endpoint_usage{3300, 600, 2, 2});
    CHECK(
        reservations.use("two", start) == endpoint_reservations::endpoint_usage{5500, 1000, 0, 2});
    reservations.on_peer_report("other", {{"two", {500, 7, 1, 1}}}, start);
    CHECK(
        reservations.use("two", start + 1s) ==
        endpoint_reservations::endpoint_usage{6000, 1007, 1, 3});
    CHECK(
        reservations.use("two", start + 2s) ==
        endpoint_reservations::endpoint_usage{5500, 1000, 0, 2});
    reservations.on_read(path, 15);
    CHECK(reservations.use("one", start).m_unread == 150);
    reservations.release(path, 100, 5);
    reservations.release(path, 10);
    CHECK(reservations.own().empty());
}

TEST_CASE("route and account lookup in a configuration")
{
    // Guards against a request that is matched by a shorter prefix or by another host.
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

TEST_CASE("a layer plan is unchanged after encoding and decoding")
{
    // Guards against a new lease holder that continues from a plan other than the stored one.
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
    // Guards against several routers whose combined retries overload the services.
    retry_budget budget({20, 3});
    for (int i = 0; i < 10; ++i)
        budget.on_request(start);
    int granted = 0;
    while (budget.try_retry(start))
        ++granted;
    CHECK(granted == 5);
}

TEST_CASE(
    "a candidate polls a lease with stale reads and verifies unanswered writes with fresh reads")
{
    // Guards against a write of unknown outcome that is verified by a stale read.
    lease_holder_settings settings;
    settings.m_process = "one";
    settings.m_allow_stale_polls = true;
    lease_holder holder(settings);
    const auto first = holder.on_tick(start);
    REQUIRE(first);
    CHECK(std::get<read_lease>(*first).m_allow_stale);
    const auto write = holder.on_read(platform_object{}, start);
    REQUIRE(write);
    const auto unknown =
        make_failure(failure_kind::platform_unavailable, "no answer", dispatch_progress::sent);
    const auto settle = holder.on_written(unknown, start);
    REQUIRE(settle);
    CHECK_FALSE(std::get<read_lease>(*settle).m_allow_stale);
}

TEST_SUITE_END();
