#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/hello.hpp>

#include <doctest/doctest.h>

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

TEST_CASE("links and load reports override a lagging instance list")
{
    endpoint_directory directory;
    GIVEN("a listed side process whose link is up and that has reported")
    {
        CHECK(
            directory.on_instance_list(make_list(false)).m_addresses_to_pin ==
            std::vector<std::string>{"s1"});
        CHECK(state_in(directory) == endpoint_state::silent);
        directory.on_peer_up(make_hello("p1"));
        CHECK(state_in(directory) == endpoint_state::silent);
        directory.on_load_report(make_report("p1"));
        CHECK(state_in(directory) == endpoint_state::live);

        WHEN("it reports that it is leaving while the list still shows it as live")
        {
            auto report = make_report("p1");
            report.m_leaving = true;
            directory.on_load_report(report);
            directory.on_instance_list(make_list(false));
            THEN("its state changes to leaving immediately")
            {
                CHECK(state_in(directory) == endpoint_state::leaving);
            }
        }
        WHEN("the list shows it as leaving before its own report does")
        {
            directory.on_instance_list(make_list(true));
            directory.on_load_report(make_report("p1"));
            CHECK(state_in(directory) == endpoint_state::leaving);
        }
        WHEN("its link goes down while it is still listed")
        {
            directory.on_peer_down("s1");
            directory.on_instance_list(make_list(false));
            CHECK(state_in(directory) == endpoint_state::silent);
            AND_WHEN("it is removed from the list")
            {
                const auto changes = directory.on_instance_list({2, {}});
                CHECK(changes.m_addresses_to_unpin == std::vector<std::string>{"s1"});
                CHECK(directory.published().load()->m_endpoints.empty());
            }
        }
        WHEN("it is removed from the list while its link is up")
        {
            CHECK(directory.on_instance_list({2, {}}).m_addresses_to_unpin.empty());
            CHECK(state_in(directory) == endpoint_state::live);
        }
        WHEN("it is restarted")
        {
            directory.on_peer_up(make_hello("p2"));
            THEN("the report of the earlier process does not make it live")
            {
                CHECK(state_in(directory) == endpoint_state::silent);
                directory.on_load_report(make_report("p2"));
                CHECK(state_in(directory) == endpoint_state::live);
            }
        }
        WHEN("its reported load includes requests of this entry")
        {
            const auto counters = directory.published().load()->find("s1")->m_counters;
            counters->m_outstanding = 3;
            directory.on_load_report(make_report("p1", 10));
            directory.publish_load();
            counters->m_outstanding = 5;
            CHECK(directory.published().load()->find("s1")->outstanding() == 5 + 7);
        }
    }
    GIVEN("a side process that is not listed yet")
    {
        CHECK(directory.on_peer_hello(make_hello("p1")));
        CHECK_FALSE(directory.on_peer_hello(make_hello("p1")));
    }
}

TEST_SUITE_END();
