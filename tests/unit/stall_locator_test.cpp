#include <fulmaryard/stall_locator.hpp>

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

stream_progress stream(std::vector<std::string> endpoints, std::chrono::milliseconds silence = 20ms)
{
    return {std::move(endpoints), silence, 30ms};
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("streams that stall at an endpoint")
{
    // Guards against streams that pause until a query of a lost endpoint has timed out, and against
    // moving streams away from sound endpoints.
    std::vector<stream_progress> streams{
        stream({"a", "b", "c"}, 100ms), stream({"a", "b"}, 100ms), stream({"a", "c"}),
        stream({"a", "d"})};
    SUBCASE("name it when all other endpoints of their paths have streams that progress")
    {
        CHECK(stall_locator::find(streams) == std::set<std::string>{"b"});
    }
    SUBCASE("do not name it while a stream passes it")
    {
        streams.push_back(stream({"d", "b"}));
        CHECK(stall_locator::find(streams).empty());
    }
    SUBCASE("do not name any of several that explain them")
    {
        streams.erase(streams.begin() + 2, streams.end());
        CHECK(stall_locator::find(streams).empty());
    }
    SUBCASE("name nothing while only one is silent")
    {
        streams.erase(streams.begin());
        CHECK(stall_locator::find(streams).empty());
    }
    SUBCASE("are not silent during their usual pauses")
    {
        for (auto& each : streams)
            each.m_usual_interval = 60ms;
        CHECK_FALSE(stall_locator::silent(streams.front()));
        CHECK(stall_locator::find(streams).empty());
    }
    SUBCASE("name each of two that are lost at the same time")
    {
        streams.push_back(stream({"d", "e"}, 200ms));
        streams.push_back(stream({"c", "e"}, 200ms));
        CHECK(stall_locator::find(streams) == std::set<std::string>{"b", "e"});
    }
}

TEST_SUITE_END();
