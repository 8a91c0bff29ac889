#include <fulmaryard/endpoint_membership.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};

endpoint_record record_of(const std::string& id, std::uint64_t started_ms, bool leaving = false)
{
    endpoint_record record;
    record.m_id = id;
    record.m_started_ms = started_ms;
    record.m_leaving = leaving;
    return record;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("endpoints and a store that comes back from an older copy")
{
    // Guards against entries of the copy that are taken for news.
    endpoint_membership membership;
    membership.on_listing(
        {record_of("stays", 1), record_of("leaves", 1), record_of("goes", 1)}, start);
    membership.on_changed(record_of("leaves", 1, true));
    membership.on_removed("goes", start);
    membership.on_changed(record_of("new", 1));
    const auto& endpoints = membership.endpoints();
    const auto copy =
        std::vector{record_of("stays", 1), record_of("leaves", 1), record_of("goes", 1)};
    const auto restored = start + 1s;
    membership.on_store_restored(restored);
    const auto doubtful = membership.on_listing(copy, restored);

    SUBCASE("that differ from what is known are named")
    {
        CHECK(doubtful == std::vector<std::string>{"leaves"});
    }
    SUBCASE("keep what is known of a run")
    {
        CHECK(endpoints.at("leaves").m_leaving);
        CHECK(endpoints.contains("stays"));
    }
    SUBCASE("that say in their entries that they leave are believed")
    {
        membership.on_listing({record_of("stays", 1, true), record_of("leaves", 1)}, restored + 1s);
        CHECK(endpoints.at("stays").m_leaving);
    }
    SUBCASE("that registered and left since the copy stay known as leaving")
    {
        membership.on_changed(record_of("new", 1, true));
        membership.on_listing(copy, restored + 1s);
        membership.on_changed(record_of("new", 1));
        CHECK(endpoints.at("new").m_leaving);
    }
    SUBCASE("that registered after the copy have time to register again")
    {
        membership.on_tick(restored + endpoint_membership::relisting_grace - 1ms);
        CHECK(endpoints.contains("new"));
        SUBCASE("and are gone if they do not")
        {
            membership.on_tick(restored + endpoint_membership::relisting_grace);
            CHECK_FALSE(endpoints.contains("new"));
        }
        SUBCASE("and stay if they do")
        {
            membership.on_changed(record_of("new", 1));
            membership.on_tick(restored + 10s);
            CHECK(endpoints.contains("new"));
        }
    }
    SUBCASE("that were removed are not used")
    {
        CHECK_FALSE(endpoints.contains("goes"));
        SUBCASE("unless they write their entry again")
        {
            membership.on_changed(record_of("goes", 1));
            CHECK(endpoints.contains("goes"));
        }
        SUBCASE("unless they have started again")
        {
            membership.on_listing({record_of("goes", 2)}, restored + 1s);
            CHECK(endpoints.contains("goes"));
        }
        SUBCASE("unless they are still listed when the store has removed those that are silent")
        {
            membership.on_listing(copy, restored + 4s);
            membership.on_tick(restored + endpoint_membership::restored_entry_grace);
            CHECK(endpoints.contains("goes"));
        }
        SUBCASE("also while the store cannot say that they are gone")
        {
            membership.on_store_unavailable(restored + 1s);
            membership.on_tick(restored + 30s);
            CHECK_FALSE(endpoints.contains("goes"));
            membership.on_store_recovered(restored + 30s);
            membership.on_tick(restored + 31s);
            CHECK_FALSE(endpoints.contains("goes"));
            membership.on_tick(restored + 30s + endpoint_membership::restored_entry_grace);
            CHECK(endpoints.contains("goes"));
        }
        SUBCASE("also if the store removes them once more")
        {
            membership.on_removed("goes", restored + 1s);
            membership.on_tick(restored + endpoint_membership::restored_entry_grace);
            CHECK_FALSE(endpoints.contains("goes"));
        }
        SUBCASE("also after a second return")
        {
            membership.on_store_restored(restored + 2s);
            membership.on_listing(copy, restored + 2s);
            CHECK_FALSE(endpoints.contains("goes"));
        }
    }
    SUBCASE("of an earlier run do not replace a later one")
    {
        membership.on_changed(record_of("stays", 2));
        membership.on_listing(copy, restored + 1s);
        CHECK(endpoints.at("stays").m_started_ms == 2);
    }
}

TEST_SUITE_END();
