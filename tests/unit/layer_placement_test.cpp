#include "unit/fixed_seed_property.hpp"

#include <fulmaryard/layer_placement.hpp>

#include <fulmaryard/settle_timer.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>

using namespace fulmaryard;

namespace
{

pipeline_engine make_engine()
{
    pipeline_engine engine;
    engine.m_layers = 80;
    engine.m_layer_mb = 1750;
    engine.m_kv_bytes_per_token = 918'000;
    engine.m_max_batch_size = 192;
    engine.m_decode_step_ms = 1;
    engine.m_decode_step_per_request_ms = 0.016;
    engine.m_mean_prompt_tokens = 800;
    engine.m_mean_response_tokens = 200;
    return engine;
}

placement_member make_member(const std::string& name, double memory_mb, double factor)
{
    placement_member member;
    member.m_endpoint = name;
    member.m_failure_domain = "a";
    member.m_memory_mb = memory_mb;
    member.m_step_factor = factor;
    return member;
}

/// One large fast endpoint, three medium ones, and eight small slow ones.
std::vector<placement_member> make_domain()
{
    std::vector<placement_member> members{make_member("large", 72'000, 2.4)};
    for (int i = 0; i < 3; ++i)
        members.push_back(make_member("medium-" + std::to_string(i), 43'200, 5.6));
    for (int i = 0; i < 8; ++i)
        members.push_back(make_member("small-" + std::to_string(i), 21'600, 16));
    return members;
}

/// Updates `members` to the state after all orders of `assignment` have completed.
void apply_assignment(std::vector<placement_member>& members, const layer_assignment& assignment)
{
    for (auto& member : members)
    {
        const auto assigned = assignment.find(member.m_endpoint);
        const auto placed = assigned == assignment.end() ? placed_layers{} : assigned->second;
        member.m_layers = placed.m_layers;
        member.m_nominal_layers = placed.m_nominal_layers;
        member.m_loaded = member.m_layers;
    }
}

int min_holders(const std::vector<placement_member>& members)
{
    int fewest = std::numeric_limits<int>::max();
    for (std::uint32_t layer = 0; layer < 80; ++layer)
    {
        const auto holders = std::count_if(
            members.begin(), members.end(),
            [layer](const auto& member)
            { return member.m_layers.m_begin <= layer && layer < member.m_layers.m_end; });
        fewest = std::min(fewest, static_cast<int>(holders));
    }
    return fewest;
}

int count_changed(const std::vector<placement_member>& members, const layer_assignment& assignment)
{
    int count = 0;
    for (const auto& member : members)
    {
        const auto assigned = assignment.find(member.m_endpoint);
        count +=
            assigned != assignment.end() && assigned->second.m_layers != member.m_layers ? 1 : 0;
    }
    return count;
}

placement_member& find(std::vector<placement_member>& members, const std::string& name)
{
    return *std::find_if(
        members.begin(), members.end(),
        [&](const auto& member) { return member.m_endpoint == name; });
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("layer placement in a failure domain")
{
    // Guards against copies that mix fast and slow endpoints, layers without a holder after an
    // endpoint is lost, orders that change more endpoints than necessary, and orders that exceed
    // the memory of an endpoint.
    const layer_placement placement(make_engine());
    auto members = make_domain();
    apply_assignment(members, placement.plan(members));

    SUBCASE("places one copy on the fast endpoints and one on the slow ones")
    {
        CHECK(min_holders(members) == 2);
        std::uint32_t fast_layers = 0;
        for (const auto& member : members)
        {
            if (member.m_step_factor < 10)
                fast_layers += member.m_layers.m_end - member.m_layers.m_begin;
        }
        CHECK(fast_layers == 80);
        CHECK(count_changed(members, placement.plan(members)) == 0);

        SUBCASE("and needs no load after the loss of any single endpoint")
        {
            for (const auto& lost : members)
            {
                auto remaining = members;
                std::erase_if(
                    remaining,
                    [&](const auto& member) { return member.m_endpoint == lost.m_endpoint; });
                CHECK(min_holders(remaining) >= 1);
                CHECK(count_changed(remaining, placement.plan(remaining)) == 0);
            }
        }
        SUBCASE("and returns its previous layers to an endpoint that restarts empty")
        {
            for (const auto* name : {"large", "medium-1", "small-3"})
            {
                auto returned = members;
                auto& member = find(returned, name);
                const auto held = member.m_layers;
                member.m_layers = {};
                member.m_loaded = {};
                const auto next = placement.plan(returned);
                CHECK(next.at(name).m_layers == held);
                CHECK(count_changed(returned, next) == 1);
            }
        }
    }
    SUBCASE("extends neighbours when lost endpoints leave layers without a holder")
    {
        const auto held = find(members, "medium-1").m_layers;
        std::erase_if(
            members,
            [&](const auto& member)
            {
                return member.m_endpoint == "medium-1" ||
                       (member.m_step_factor > 10 && member.m_layers.m_begin < held.m_end &&
                        member.m_layers.m_end > held.m_begin + 2);
            });
        REQUIRE(min_holders(members) == 0);
        const auto next = placement.plan(members);
        const int changed_members = count_changed(members, next);
        CHECK(changed_members >= 1);
        CHECK(changed_members <= 2);
        auto repaired = members;
        apply_assignment(repaired, next);
        CHECK(min_holders(repaired) >= 1);
        for (const auto& member : members)
        {
            // No endpoint releases layers while a gap is closed.
            CHECK(next.at(member.m_endpoint).m_layers.m_begin <= member.m_layers.m_begin);
            CHECK(next.at(member.m_endpoint).m_layers.m_end >= member.m_layers.m_end);
        }

        SUBCASE("and keeps the extended ranges until a returning endpoint has loaded")
        {
            repaired.push_back(make_member("medium-1", 43'200, 5.6));
            const auto loading = placement.plan(repaired);
            REQUIRE(loading.contains("medium-1"));
            for (auto& member : repaired)
                member.m_layers = loading.at(member.m_endpoint).m_layers;
            CHECK(count_changed(repaired, placement.plan(repaired)) == 0);
            apply_assignment(repaired, loading);
            apply_assignment(repaired, placement.plan(repaired));
            CHECK(min_holders(repaired) >= 1);
        }
    }
    SUBCASE("shifts few ranges when the neighbours of a lost endpoint lack memory")
    {
        // Partitioning the domain again would stop all service until its endpoints have loaded.
        std::vector<placement_member> domain;
        domain.reserve(9);
        for (int i = 0; i < 2; ++i)
            domain.push_back(make_member("large-" + std::to_string(i), 72'000, 2.4));
        for (int i = 0; i < 2; ++i)
            domain.push_back(make_member("medium-" + std::to_string(i), 43'200, 5.6));
        for (int i = 0; i < 5; ++i)
            domain.push_back(make_member("small-" + std::to_string(i), 21'600, 16));
        apply_assignment(domain, placement.plan(domain));
        for (std::size_t lost = 0; lost < domain.size(); ++lost)
        {
            CAPTURE(domain[lost].m_endpoint);
            auto survivors = domain;
            survivors.erase(survivors.begin() + static_cast<std::ptrdiff_t>(lost));
            const bool gap = min_holders(survivors) == 0;
            const auto next = placement.plan(survivors);
            const int changed_members = count_changed(survivors, next);
            CHECK(changed_members <= (gap ? 3 : 0));
            apply_assignment(survivors, next);
            CHECK(min_holders(survivors) >= 1);
            for (const auto& member : survivors)
                CHECK(
                    (member.m_layers.m_end - member.m_layers.m_begin) * 1750 <= member.m_memory_mb);
        }
    }
    SUBCASE("moves a second holder rather than shifting ranges that requests use")
    {
        // Load pattern: endpoints are replaced in turn under load. An endpoint releases layers only
        // once no request passes through them, which kept a domain without a path for seconds.
        std::vector<placement_member> domain;
        for (std::uint32_t begin = 0; begin < 80; begin += 10)
        {
            domain.push_back(make_member("holder-" + std::to_string(begin), 21'600, 16));
            domain.back().m_layers = domain.back().m_loaded = {begin, begin + 10};
        }
        domain.push_back(make_member("spare", 21'600, 16));
        domain.back().m_layers = domain.back().m_loaded = {0, 10};
        domain.erase(domain.begin() + 4);
        const auto next = placement.plan(domain);
        CHECK(count_changed(domain, next) == 1);
        apply_assignment(domain, next);
        CHECK(min_holders(domain) == 1);
    }
    SUBCASE("assigns no layers when the remaining endpoints cannot hold a copy")
    {
        std::vector<placement_member> small_domain{
            make_member("large-1", 60'000, 2.4), make_member("large-2", 60'000, 2.4),
            make_member("large-3", 60'000, 2.4)};
        apply_assignment(small_domain, placement.plan(small_domain));
        REQUIRE(min_holders(small_domain) == 1);
        small_domain.pop_back();
        // Two endpoints have no memory for 80 layers and the minimum of requests.
        CHECK(placement.plan(small_domain).empty());
    }
}

TEST_CASE("layer placement after random losses, returns and joins")
{
    // Guards against orders that exceed the memory of an endpoint, and against layers that stay
    // without a holder although memory suffices.
    const auto property = []
    {
        const layer_placement placement(make_engine());
        auto members = make_domain();
        apply_assignment(members, placement.plan(members));
        for (int step = 0; step < 8; ++step)
        {
            const auto chosen =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(members.size())));
            switch (*rc::gen::inRange(0, 3))
            {
            case 0:
                if (members.size() > 8)
                    members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
                break;
            case 1:
                members[chosen].m_layers = {};
                members[chosen].m_loaded = {};
                break;
            default:
                members.push_back(make_member("new-" + std::to_string(step), 21'600, 16));
            }
            const auto next = placement.plan(members);
            for (const auto& member : members)
            {
                const auto assigned = next.find(member.m_endpoint);
                if (assigned == next.end())
                    continue;
                const double layers =
                    assigned->second.m_layers.m_end - assigned->second.m_layers.m_begin;
                RC_ASSERT(layers * 1750 <= member.m_memory_mb);
                RC_ASSERT(assigned->second.m_layers.m_end <= 80U);
            }
            if (next.empty())
                return; // The remaining endpoints cannot hold a copy.
            apply_assignment(members, next);
            RC_ASSERT(min_holders(members) >= 1);
        }
    };
    CHECK(holds(property, 200, 12));
}

TEST_CASE("a failure domain whose endpoints come and go")
{
    // Guards against a domain that never gets layers because each change of its endpoints begins
    // the wait for the others again.
    using namespace std::chrono_literals;
    const std::chrono::steady_clock::time_point start{1000s};
    settle_timer settling;
    CHECK_FALSE(settling.settled({"one"}, start));

    SUBCASE("settles when they do not change")
    {
        CHECK_FALSE(settling.settled({"one"}, start + settle_timer::quiet_time - 1ms));
        CHECK(settling.settled({"one"}, start + settle_timer::quiet_time));
    }
    SUBCASE("settles in the end although they change")
    {
        auto now = start;
        for (int i = 0; now < start + settle_timer::max_wait; ++i, now += 1s)
            CHECK_FALSE(settling.settled({"one", i % 2 == 0 ? "two" : "three"}, now));
        CHECK(settling.settled({"one", "four"}, start + settle_timer::max_wait));
    }
    SUBCASE("begins anew with a change after it had settled")
    {
        const auto later = start + 1min;
        CHECK(settling.settled({"one"}, later));
        CHECK_FALSE(settling.settled({"one", "two"}, later + 1s));
        CHECK(settling.settled({"one", "two"}, later + 1s + settle_timer::quiet_time));
    }
    SUBCASE("begins anew when all of them have gone")
    {
        CHECK_FALSE(settling.settled({}, start + 1s));
        CHECK_FALSE(settling.settled({"two"}, start + settle_timer::max_wait));
    }
}

TEST_SUITE_END();
