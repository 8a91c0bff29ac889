#include "endpoint_fixture.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/stage_planner.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace fulmaryard;

namespace
{

const pipeline_definition two_stages{"pipeline", "model", {{0, 8}, {8, 16}}};

planning_request make_request()
{
    planning_request request;
    request.m_prompt = "prompt";
    request.m_positions = 100;
    request.m_region = "region";
    request.m_failure_domain = "a";
    return request;
}

std::map<std::string, int> count_first_stages(
    stage_planner& planner, const directory_view& view, int plans, bool add_outstanding = false)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < plans; ++i)
    {
        const auto planned = planner.plan(view, two_stages, make_request());
        REQUIRE(planned.ok());
        const auto& address = planned->m_stages[0].m_address;
        ++chosen[address];
        if (add_outstanding)
            ++view.find(address)->m_counters->m_outstanding;
    }
    return chosen;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("the planner selects eligible endpoints with the least wait")
{
    directory_view view{
        {make_endpoint("a0", {0, 8}), make_endpoint("a1", {0, 8}), make_endpoint("b0", {8, 16})}};
    stage_planner planner(make_least_wait_strategy(), 1);

    SUBCASE("a loaded endpoint is avoided")
    {
        view.m_endpoints[0].m_others_outstanding = 200;
        CHECK(count_first_stages(planner, view, 50) == std::map<std::string, int>{{"a1", 50}});
    }
    SUBCASE("own outstanding work distributes plans while the reports are unchanged")
    {
        const auto chosen = count_first_stages(planner, view, 100, true);
        CHECK(chosen.at("a0") > 30);
        CHECK(chosen.at("a1") > 30);
    }
    SUBCASE("entries with the same view do not all select the same endpoint")
    {
        std::map<std::string, int> chosen;
        for (std::uint64_t seed = 0; seed < 100; ++seed)
        {
            stage_planner other(make_least_wait_strategy(), seed);
            ++chosen[other.plan(view, two_stages, make_request())->m_stages[0].m_address];
        }
        CHECK(chosen["a0"] > 20);
        CHECK(chosen["a1"] > 20);
    }
    SUBCASE("the same seed gives the same plans")
    {
        stage_planner same(make_least_wait_strategy(), 1);
        CHECK(count_first_stages(planner, view, 20) == count_first_stages(same, view, 20));
    }
    SUBCASE("an endpoint in the same region is preferred to one in another region")
    {
        view.m_endpoints[0].m_report.m_region = "elsewhere";
        CHECK(count_first_stages(planner, view, 20) == std::map<std::string, int>{{"a1", 20}});
    }
    SUBCASE("ineligible endpoints are not selected")
    {
        auto request = make_request();
        SUBCASE("silent")
        {
            view.m_endpoints[0].m_state = endpoint_state::silent;
        }
        SUBCASE("engine down")
        {
            view.m_endpoints[0].m_report.m_engine_up = false;
        }
        SUBCASE("excluded")
        {
            request.m_excluded = {"process-a0"};
        }
        SUBCASE("other layers")
        {
            view.m_endpoints[0].m_report.m_layers = {0, 9};
        }
        SUBCASE("other model")
        {
            view.m_endpoints[0].m_report.m_model = "other";
        }
        SUBCASE("no KV memory")
        {
            view.m_endpoints[0].m_report.m_free_kv_positions = 99;
        }
        for (int i = 0; i < 20; ++i)
            CHECK(planner.plan(view, two_stages, request)->m_stages[0].m_address == "a1");
    }
    SUBCASE("a repeated prompt goes to the endpoint that has cached its prefix unless it is loaded")
    {
        const auto first = planner.plan(view, two_stages, make_request())->m_stages[0].m_address;
        for (int i = 0; i < 20; ++i)
            CHECK(planner.plan(view, two_stages, make_request())->m_stages[0].m_address == first);
        view.m_endpoints[first == "a0" ? 0 : 1].m_others_outstanding = 100;
        CHECK(planner.plan(view, two_stages, make_request())->m_stages[0].m_address != first);
    }
    SUBCASE("the expected wait includes work, batch limit, step time and links")
    {
        view.m_endpoints.erase(view.m_endpoints.begin() + 1);
        view.m_endpoints[0].m_others_outstanding = 5;
        view.m_endpoints[1].m_report.m_failure_domain = "b";
        // 5 / 10 of a 10 ms step, one link within the failure domain and one between domains.
        CHECK(
            planner.plan(view, two_stages, make_request())->m_expected_wait ==
            std::chrono::microseconds(5000 + 100 + 1000));
    }
    SUBCASE("failures distinguish missing endpoints from a lack of KV memory")
    {
        view.m_endpoints[2].m_report.m_free_kv_positions = 0;
        const auto full = planner.plan(view, two_stages, make_request());
        CHECK(kind_of(full.status()) == failure_kind::overloaded);
        view.m_endpoints[2].m_state = endpoint_state::silent;
        const auto none = planner.plan(view, two_stages, make_request());
        CHECK(kind_of(none.status()) == failure_kind::no_endpoint);
        CHECK(outcome_of(none.status()) == outcome::not_run);
    }
    SUBCASE("a replacement keeps the layers and is not an excluded process")
    {
        const std::vector<stage_assignment> plan{
            {"process-a0", "a0", {0, 8}}, {"process-b0", "b0", {8, 16}}};
        auto request = make_request();
        request.m_excluded = {"process-a0"};
        const auto chosen = planner.replace(view, two_stages, plan, 0, request);
        CHECK(*chosen == stage_assignment{"process-a1", "a1", {0, 8}});
    }
}

TEST_CASE("round robin cycles through endpoints regardless of load")
{
    const directory_view view{
        {make_endpoint("a0", {0, 8}, 500), make_endpoint("a1", {0, 8}),
         make_endpoint("b0", {8, 16}), make_endpoint("b1", {8, 16})}};
    stage_planner planner(make_round_robin_strategy(), 1);
    CHECK(
        count_first_stages(planner, view, 10) == std::map<std::string, int>{{"a0", 5}, {"a1", 5}});
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("leaving");

TEST_CASE("neither a plan nor a replacement uses a leaving endpoint")
{
    directory_view view{{make_endpoint("a0", {0, 8}), make_endpoint("b0", {8, 16})}};
    view.m_endpoints[0].m_state = endpoint_state::leaving;
    stage_planner planner(make_least_wait_strategy(), 1);
    const std::vector<stage_assignment> plan{
        {"process-a1", "a1", {0, 8}}, {"process-b0", "b0", {8, 16}}};
    CHECK_FALSE(planner.plan(view, two_stages, make_request()).ok());
    CHECK_FALSE(planner.replace(view, two_stages, plan, 0, make_request()).ok());
}

TEST_SUITE_END();
