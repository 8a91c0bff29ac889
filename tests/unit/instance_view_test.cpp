#include "instance_view.hpp"

#include <fulmaryard/instance_list.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace fulmaryard;

namespace
{

instance_list make_list(int entries, bool leaving)
{
    instance_list list{7, {{"side-1", "side", "s1", "r", "d", leaving}}};
    for (int i = 0; i < entries; ++i)
    {
        list.m_instances.push_back(
            {fmt::format("entry-{}", i), "entry", fmt::format("e{}", i), "r", "d", i == 0});
    }
    return list;
}

} // namespace

TEST_SUITE_BEGIN("leaving");

TEST_CASE("an instance view contains what a side process needs of the list")
{
    // Guards against a side process that does not notice that it is listed as leaving. It does not
    // read the list itself and depends on the view.
    GIVEN("a list that shows the side process as leaving")
    {
        const auto view = make_instance_view(make_list(3, true), "s1", 5);
        CHECK(view.m_leaving);
        CHECK(view.m_version == 7);
        CHECK(view.m_generation == 5);
        CHECK_FALSE(make_instance_view(make_list(3, true), "s2", 5).m_leaving);
        THEN("the view omits entries that are leaving")
        {
            CHECK(std::count(view.m_entries.begin(), view.m_entries.end(), "e0") == 0);
            CHECK(view.m_entries.size() == 2);
        }
        THEN("formatting and parsing preserve all fields")
        {
            CHECK(parse_instance_view(format_instance_view(view)) == view);
        }
    }
    GIVEN("a list with the 370 entries of the design scale")
    {
        const auto list = make_list(370, false);
        THEN("views have a bounded size and spread side processes over the entries")
        {
            std::set<std::string> used;
            for (int i = 0; i < 500; ++i)
            {
                const auto view = make_instance_view(list, fmt::format("s{}", i), 1);
                CHECK(view.m_entries.size() == max_view_entries);
                used.insert(view.m_entries.begin(), view.m_entries.end());
            }
            CHECK(used.size() > 360);
        }
    }
    GIVEN("malformed JSON or missing or invalid members")
    {
        for (const char* text :
             {"", "[]", R"({"version":1})",
              R"({"version":1,"generation":1,"leaving":0,"entries":[]})",
              R"({"version":-1,"generation":1,"leaving":false,"entries":[]})",
              R"({"version":1,"generation":1,"leaving":false,"entries":[1]})"})
            CHECK_FALSE(parse_instance_view(text));
    }
}

TEST_SUITE_END();
