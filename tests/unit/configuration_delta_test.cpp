#include "fixed_seed_property.hpp"

#include <fulmaryard/configuration_delta.hpp>
#include <fulmaryard/configuration_state.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace fulmaryard;

namespace
{

tenant_configuration make_tenant(int number, std::uint32_t weight = 1)
{
    tenant_configuration tenant;
    tenant.m_tenant = fmt::format("tenant-{}", number);
    client_account account;
    account.m_name = fmt::format("account-{}", number);
    account.m_weight = weight;
    tenant.m_accounts = {account};
    return tenant;
}

configuration random_configuration(std::uint64_t generation)
{
    configuration made;
    made.m_generation = generation;
    for (int number = 0; number < 5; ++number)
    {
        if (*rc::gen::inRange(0, 4) > 0)
            made.m_tenants.push_back(
                make_tenant(number, static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))));
    }
    return made;
}

} // namespace

TEST_SUITE_BEGIN("configuration");

TEST_CASE("a process with an earlier generation gets only the changes")
{
    configuration_state state;
    GIVEN("two tenants in generation 5, of which one changes in generation 6")
    {
        const auto five = std::make_shared<const configuration>(
            configuration{5, {make_tenant(1), make_tenant(2)}});
        const auto six = std::make_shared<const configuration>(
            configuration{6, {make_tenant(1), make_tenant(2, 9)}});
        REQUIRE(state.offer(five));
        REQUIRE(state.offer(six));
        THEN("the delta from 5 holds only that tenant's file and survives encoding")
        {
            const auto delta = state.changes_since(5);
            REQUIRE(delta);
            CHECK(delta->m_changed.m_tenants.size() == 1);
            const auto read = decode_configuration_delta(encode_configuration_delta(*delta));
            REQUIRE(read.ok());
            CHECK(*read == *delta);
            CHECK(*apply_delta(*five, *read) == *six);
        }
        THEN("there is no delta from an unknown generation or from the current one")
        {
            CHECK_FALSE(state.changes_since(4));
            CHECK_FALSE(state.changes_since(0));
            CHECK_FALSE(state.changes_since(6));
        }
        THEN("a delta with another base generation or a wrong tenant count is rejected")
        {
            auto delta = *state.changes_since(5);
            CHECK_FALSE(apply_delta(*six, delta).ok());
            ++delta.m_tenants;
            CHECK_FALSE(apply_delta(*five, delta).ok());
        }
    }
    CHECK_FALSE(decode_configuration_delta("{}").ok());
}

TEST_CASE("applying a delta gives the same configuration as fetching the whole one")
{
    // Guards against a delta that omits a change, also one in a generation that the peer skipped.
    const auto property = []
    {
        std::vector<std::shared_ptr<const configuration>> accepted;
        const int last = *rc::gen::inRange(2, 9);
        for (int generation = 1; generation <= last; ++generation)
            accepted.push_back(std::make_shared<const configuration>(
                random_configuration(static_cast<std::uint64_t>(generation))));
        configuration_state state;
        for (const auto& each : accepted)
        {
            if (each == accepted.back() || *rc::gen::inRange(0, 3) > 0)
                state.offer(each);
        }
        for (const auto& base : accepted)
        {
            const auto delta = state.changes_since(base->m_generation);
            if (!delta)
                continue;
            const auto made = apply_delta(*base, *delta);
            RC_ASSERT(made.ok());
            RC_ASSERT(*made == *accepted.back());
        }
    };
    CHECK(holds(property, 500, 20261204));
}

TEST_SUITE_END();
