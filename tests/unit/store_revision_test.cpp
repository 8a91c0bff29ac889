#include "store_revision.hpp"

#include <doctest/doctest.h>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

TEST_CASE("versions of a store that is restored from older copies")
{
    // Guards against a newer state that is taken for older because its revision is lower.
    const auto version = [](std::uint64_t era, std::uint64_t revision) {
        return to_version({era, revision}).value();
    };
    SUBCASE("are in order within an era and between eras")
    {
        CHECK(version(1, 134) < version(1, 135));
        CHECK(version(1, 134) < version(2, 124));
        CHECK(version(1, 1'000'000'000'000) < version(2, 1));
        CHECK(version(2, 134) != version(1, 134));
    }
    SUBCASE("are the revisions of a store that names no era")
    {
        CHECK(version(0, 134) == 134);
    }
    SUBCASE("give era and revision back")
    {
        CHECK(to_revision(version(7, 124)) == store_revision{7, 124});
        CHECK(to_revision(version((1 << 24) - 1, (1ULL << 40) - 1)).m_era == (1 << 24) - 1);
    }
    SUBCASE("do not exist for numbers that are too large")
    {
        CHECK_FALSE(to_version({1, 1ULL << 40}));
        CHECK_FALSE(to_version({1 << 24, 1}));
    }
}

TEST_SUITE_END();
