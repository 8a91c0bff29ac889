#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/hello.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>

using namespace fulmaryard;

namespace
{

hello make_hello(const std::string& process)
{
    return {process, "side", "s1", 1};
}

load_report make_report(const std::string& process, std::uint32_t outstanding = 0)
{
    load_report report;
    report.m_process = process;
    report.m_address = "s1";
    report.m_outstanding = outstanding;
    report.m_engine_up = true;
    return report;
}

instance_list make_list(bool leaving)
{
    return {
        1, {{"side-1", "side", "s1", "r", "d", leaving}, {"e", "entry", "e1", "r", "d", false}}};
}

endpoint_state state_in(const endpoint_directory& directory)
{
    const auto view = directory.published().load();
    const auto* const known = view->find("s1");
    return known ? known->m_state : endpoint_state::silent;
}

} // namespace

TEST_SUITE_BEGIN("leaving");

TEST_CASE("the directory follows links and reports while the list lags")
{
    endpoint_directory directory;
    GIVEN("a listed side process whose link is up and that has reported")
    {
        CHECK(directory.on_instances(make_list(false)).m_pin == std::vector<std::string>{"s1"});
        CHECK(state_in(directory) == endpoint_state::silent);
        directory.on_peer_up(make_hello("p1"));
        CHECK(state_in(directory) == endpoint_state::silent);
        directory.on_load_report(make_report("p1"));
        CHECK(state_in(directory) == endpoint_state::live);

        WHEN("it reports that it leaves and the list still shows it as live")
        {
            auto report = make_report("p1");
            report.m_leaving = true;
            directory.on_load_report(report);
            directory.on_instances(make_list(false));
            THEN("it is leaving at once")
            {
                CHECK(state_in(directory) == endpoint_state::leaving);
            }
        }
        WHEN("the list shows it as leaving before it reports so")
        {
            directory.on_instances(make_list(true));
            directory.on_load_report(make_report("p1"));
            CHECK(state_in(directory) == endpoint_state::leaving);
        }
        WHEN("its link goes down and the list still shows it")
        {
            directory.on_peer_down("s1");
            directory.on_instances(make_list(false));
            CHECK(state_in(directory) == endpoint_state::silent);
            AND_WHEN("the list drops it")
            {
                const auto changes = directory.on_instances({2, {}});
                CHECK(changes.m_unpin == std::vector<std::string>{"s1"});
                CHECK(directory.published().load()->m_endpoints.empty());
            }
        }
        WHEN("the list drops it too early")
        {
            CHECK(directory.on_instances({2, {}}).m_unpin.empty());
            CHECK(state_in(directory) == endpoint_state::live);
        }
        WHEN("it was restarted")
        {
            directory.on_peer_up(make_hello("p2"));
            THEN("the report of the earlier process does not make it live")
            {
                CHECK(state_in(directory) == endpoint_state::silent);
                directory.on_load_report(make_report("p2"));
                CHECK(state_in(directory) == endpoint_state::live);
            }
        }
        WHEN("it reports load that is partly of this entry")
        {
            const auto counters = directory.published().load()->find("s1")->m_counters;
            counters->m_outstanding = 3;
            directory.on_load_report(make_report("p1", 10));
            directory.publish_load();
            counters->m_outstanding = 5;
            CHECK(directory.published().load()->find("s1")->outstanding() == 5 + 7);
        }
    }
    GIVEN("a side process that the list does not show yet")
    {
        CHECK(directory.on_peer_hello(make_hello("p1")));
        CHECK_FALSE(directory.on_peer_hello(make_hello("p1")));
    }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("unit");

TEST_CASE("an entry bounds its links to the endpoints of a stage")
{
    // Guards against links, pings and load reports that grow with the fleet, and against a bound
    // that leaves a stage without a live endpoint.
    constexpr int count = 40;
    const auto address = [](int number) { return fmt::format("side-{}", number); };
    instance_list list{1, {}};
    for (int at = 0; at < count; ++at)
    {
        list.m_instances.push_back(
            {address(at), "side", address(at), at < 30 ? "r1" : "r2", fmt::format("d{}", at % 5),
             false});
    }
    const auto report_of = [&](int number)
    {
        auto report = make_report("p" + address(number));
        report.m_address = address(number);
        report.m_model = "model";
        report.m_layers = {number % 2 == 0 ? 0U : 5U, number % 2 == 0 ? 5U : 10U};
        return report;
    };
    endpoint_directory directory({"entry", "r1", "d0", 4});
    std::set<std::string> links;
    const auto follow = [&](const endpoint_directory::link_changes& changes)
    {
        for (const auto& pinned : changes.m_pin)
        {
            links.insert(pinned);
            directory.on_peer_up({"p" + pinned, "side", pinned, 1});
            directory.on_load_report(report_of(std::stoi(pinned.substr(5))));
        }
        for (const auto& unpinned : changes.m_unpin)
            links.erase(unpinned);
    };
    const auto live_of = [&](std::uint32_t first_layer)
    {
        const auto view = directory.published().load();
        return std::count_if(
            view->m_endpoints.begin(), view->m_endpoints.end(),
            [&](const endpoint& known)
            {
                return known.m_state == endpoint_state::live &&
                       known.m_report.m_layers.m_begin == first_layer;
            });
    };
    follow(directory.on_instances(list));
    REQUIRE(links.size() == count);
    const auto view = directory.published().load();
    const auto busy = view->find(address(39))->m_counters;
    busy->m_outstanding = 1;
    follow(directory.choose_links());
    CHECK(links.size() == count);
    CHECK(live_of(0) == 4);
    CHECK(live_of(5) == 4);
    follow(directory.choose_links());
    THEN("only the bound is kept, and the link that has work of this entry")
    {
        CHECK(links.size() == 2 * 4 + 1);
        CHECK(links.contains(address(39)));
        busy->m_outstanding = 0;
        follow(directory.choose_links());
        CHECK(links.size() == 2 * 4);
        CHECK(directory.published().load()->find(*links.begin())->m_represented == 5);
    }
    THEN("they are in the entry's region and not all in its failure domain")
    {
        links.erase(address(39));
        std::set<int> domains;
        for (const auto& link : links)
        {
            CHECK(std::stoi(link.substr(5)) < 30);
            domains.insert(std::stoi(link.substr(5)) % 5);
        }
        CHECK(domains.contains(0));
        CHECK(domains.size() > 1);
    }
    THEN("each one that is lost is replaced, until none of the stage is left")
    {
        for (int lost = 0; lost < 20; ++lost)
        {
            const auto now = directory.published().load();
            const auto victim = std::find_if(
                now->m_endpoints.begin(), now->m_endpoints.end(),
                [](const endpoint& known) {
                    return known.m_state == endpoint_state::live &&
                           known.m_report.m_layers.m_begin == 0;
                });
            REQUIRE(victim != now->m_endpoints.end());
            directory.on_peer_down(victim->m_address);
            follow(directory.choose_links());
            CHECK(live_of(0) == std::min(4, 19 - lost));
        }
        CHECK(live_of(5) == 4);
    }
}

TEST_SUITE_END();
