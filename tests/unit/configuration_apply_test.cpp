#include "fixed_seed_property.hpp"

#include <fulmaryard/configuration_apply.hpp>
#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_difference.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/watcher_election.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace fulmaryard;

namespace
{

/// Fault injected into one call of the store.
enum class fault
{
    none,
    refused,      ///< 503: the call was not executed.
    answer_lost,  ///< The call is executed, but its response is lost.
    request_lost, ///< Not executed; the caller sees the same as for `answer_lost`.
    delayed       ///< No response; `run_delayed` executes the write later.
};

/// In-memory object store with conditional updates and fault injection.
class fake_store
{
public:
    absl::StatusOr<platform_object> get(const std::string& name, fault with)
    {
        if (with != fault::none)
            return make_failure(failure_kind::platform_unavailable, "fault");
        return m_objects[name];
    }

    absl::StatusOr<std::uint64_t> put(const apply_step& step, fault with)
    {
        if (with == fault::refused)
        {
            return make_failure(
                failure_kind::platform_unavailable, "refused", dispatch_progress::refused);
        }
        if (with == fault::delayed)
            m_delayed.push_back(step);
        absl::StatusOr<std::uint64_t> result =
            make_failure(failure_kind::platform_unavailable, "no answer", dispatch_progress::sent);
        if (with == fault::none || with == fault::answer_lost)
        {
            const auto written = run(step);
            if (with == fault::none)
                result = written;
        }
        return result;
    }

    void run_delayed()
    {
        for (const auto& step : m_delayed)
            (void)run(step);
        m_delayed.clear();
    }

    /// Unconditional update, as made by the naive variant.
    void overwrite(const apply_step& step)
    {
        auto changed = step;
        changed.m_version = m_objects[step.m_object].m_version;
        (void)run(changed);
    }

    current_configuration current()
    {
        return *decode_current_configuration(
            m_objects[std::string(current_configuration_name)].m_value);
    }

    /// All values of `configuration/current` in the order of the updates.
    const std::vector<current_configuration>& sequence() const { return m_sequence; }

    bool holds_file(const std::string& hash)
    {
        return m_objects[configuration_file_name(hash)].m_version != 0;
    }

private:
    absl::StatusOr<std::uint64_t> run(const apply_step& step)
    {
        auto& object = m_objects[step.m_object];
        if (object.m_version != step.m_version)
        {
            return make_failure(
                failure_kind::conflict, "another version", dispatch_progress::refused);
        }
        object = {step.m_value, object.m_version + 1};
        if (step.m_object == current_configuration_name)
            m_sequence.push_back(*decode_current_configuration(step.m_value));
        return object.m_version;
    }

    std::map<std::string, platform_object> m_objects;
    std::vector<apply_step> m_delayed;
    std::vector<current_configuration> m_sequence;
};

tenant_configuration make_file(const std::string& tenant, std::uint32_t layers)
{
    tenant_configuration file;
    file.m_tenant = tenant;
    file.m_models = {{"model", layers, 1024}};
    return file;
}

apply_request make_request(const std::string& tenant, std::uint32_t layers, const std::string& id)
{
    return {make_file(tenant, layers), id, "operator", "2026-12-31T23:59:59Z", std::nullopt};
}

/// Performs the next step of an apply.
void perform_step(configuration_apply& apply, fake_store& store, fault with = fault::none)
{
    const auto step = apply.next();
    if (step.m_action == apply_step::action::read)
        apply.on_read(store.get(step.m_object, with));
    else if (step.m_action == apply_step::action::write)
        apply.on_written(store.put(step, with));
}

bool finished(const configuration_apply& apply)
{
    return apply.next().m_action == apply_step::action::finished;
}

const absl::StatusOr<applied_file>& complete(configuration_apply& apply, fake_store& store)
{
    for (int i = 0; i < 100 && !finished(apply); ++i)
        perform_step(apply, store);
    return apply.result();
}

/// Advances an apply to just before its update of `configuration/current`.
void advance_to_update(configuration_apply& apply, fake_store& store)
{
    while (
        !(apply.next().m_action == apply_step::action::write &&
          apply.next().m_object == current_configuration_name))
        perform_step(apply, store);
}

/// Describes the first violation in the values of `configuration/current`; empty if none.
std::string find_violation(const std::vector<current_configuration>& sequence)
{
    std::map<std::string, std::string> files;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < sequence.size(); ++i)
    {
        const auto& value = sequence[i];
        if (value.m_generation != i + 1 || value.m_history.empty())
            return "the generations are not one sequence";
        const auto& last = value.m_history.back();
        files[last.m_tenant] = last.m_hash;
        if (value.m_files != files)
            return "an accepted file was lost";
        if (std::find(ids.begin(), ids.end(), last.m_apply_id) != ids.end())
            return "an apply was accepted twice";
        ids.push_back(last.m_apply_id);
    }
    return {};
}

/// Runs concurrent applies in random order with random faults and describes the first violation;
/// empty if none. `naive` makes the updates unconditional.
std::string run_concurrent_applies(bool same_tenant, bool naive)
{
    fake_store store;
    std::vector<std::unique_ptr<configuration_apply>> applies;
    std::vector<std::string> ids;
    const int operators = *rc::gen::inRange(2, 4);
    const auto add = [&](int number, const std::string& id)
    {
        const std::string tenant =
            same_tenant ? "a" : std::string(1, static_cast<char>('a' + number));
        applies.push_back(std::make_unique<configuration_apply>(
            make_request(tenant, static_cast<std::uint32_t>(number) + 1, id)));
        ids.push_back(id);
    };
    for (int i = 0; i < operators; ++i)
        add(i, "id-" + std::to_string(i));
    // The first operator's client sends its request twice, with the same apply id.
    add(0, "id-0");

    const auto faults =
        std::vector<fault>{fault::none,        fault::none,         fault::none,   fault::refused,
                           fault::answer_lost, fault::request_lost, fault::delayed};
    for (int i = 0; i < 80; ++i)
    {
        auto& apply = *applies[*rc::gen::inRange<std::size_t>(0, applies.size())];
        const auto step = apply.next();
        const bool update = step.m_action == apply_step::action::write &&
                            step.m_object == current_configuration_name;
        if (naive && update)
        {
            store.overwrite(step);
            apply.on_written(std::uint64_t{1});
        }
        else
            perform_step(apply, store, *rc::gen::elementOf(faults));
        if (*rc::gen::inRange(0, 8) == 0)
            store.run_delayed();
    }
    // Some applies reach their deadline while updates are still in flight; the others complete.
    for (auto& apply : applies)
    {
        if (*rc::gen::inRange(0, 2) == 0)
            apply->on_deadline();
        else
            complete(*apply, store);
    }
    store.run_delayed();

    if (auto wrong = find_violation(store.sequence()); !wrong.empty())
        return wrong;
    for (std::size_t i = 0; i < applies.size(); ++i)
    {
        const auto& result = applies[i]->result();
        const auto accepted = std::find_if(
            store.sequence().begin(), store.sequence().end(),
            [&](const auto& value) { return value.m_history.back().m_apply_id == ids[i]; });
        const bool in_sequence = accepted != store.sequence().end();
        if (result.ok() && (!in_sequence || accepted->m_history.back() != *result))
            return "an apply was reported as accepted and is not";
        // For a repeated id, the other request may be the one that was accepted.
        const bool alone = std::count(ids.begin(), ids.end(), ids[i]) == 1;
        if (!result.ok() && in_sequence && alone && outcome_of(result.status()) == outcome::not_run)
            return "an apply was reported as not run and is accepted";
        if (!result.ok() && !same_tenant && kind_of(result.status()) == failure_kind::conflict)
            return "applies of different tenants conflicted";
    }
    for (const auto& [tenant, hash] : store.current().m_files)
    {
        if (!store.holds_file(hash))
            return "an accepted file is not stored";
    }
    return {};
}

} // namespace

TEST_SUITE_BEGIN("configuration");

// Guards against silently overwriting the change of a concurrent operator.
TEST_CASE("concurrent applies of two operators")
{
    fake_store store;
    GIVEN("both have read the same record")
    {
        configuration_apply first(make_request("a", 1, "id-1"));
        configuration_apply second(make_request("a", 2, "id-2"));
        configuration_apply other(make_request("b", 3, "id-3"));
        advance_to_update(first, store);
        advance_to_update(second, store);
        advance_to_update(other, store);
        REQUIRE(complete(first, store).ok());
        WHEN("the second applies a file of the same tenant")
        {
            const auto& result = complete(second, store);
            THEN("it conflicts and names the file in force")
            {
                REQUIRE_FALSE(result.ok());
                CHECK(kind_of(result.status()) == failure_kind::conflict);
                CHECK(outcome_of(result.status()) == outcome::not_run);
                CHECK(second.conflicting_hash() == content_hash(make_file("a", 1)));
                CHECK(store.current().m_generation == 1);
            }
        }
        WHEN("the second applies a file of another tenant")
        {
            const auto& result = complete(other, store);
            THEN("it is accepted on top of the first")
            {
                REQUIRE(result.ok());
                CHECK(result->m_generation == 2);
                CHECK(store.current().m_files.size() == 2);
            }
        }
    }
    GIVEN("an apply conditional on a generation")
    {
        configuration_apply first(make_request("a", 1, "id-1"));
        REQUIRE(complete(first, store).ok());
        configuration_apply change(make_request("a", 2, "id-2"));
        REQUIRE(complete(change, store).ok());
        auto request = make_request("a", 3, "id-3");
        SUBCASE("that is still that of the tenant's file")
        {
            request.m_generation = 2;
            configuration_apply apply(request);
            CHECK(complete(apply, store).ok());
        }
        SUBCASE("after which the tenant's file changed")
        {
            request.m_generation = 1;
            configuration_apply apply(request);
            CHECK(kind_of(complete(apply, store).status()) == failure_kind::conflict);
        }
        SUBCASE("after which only another tenant's file changed")
        {
            configuration_apply other(make_request("b", 1, "id-4"));
            REQUIRE(complete(other, store).ok());
            request.m_generation = 2;
            configuration_apply apply(request);
            CHECK(complete(apply, store).ok());
        }
    }
}

// Guards against one apply that creates two generations or reports a wrong outcome, after the
// response to its update was lost.
TEST_CASE("the response to an update that took effect is lost")
{
    fake_store store;
    configuration_apply apply(make_request("a", 1, "id-1"));
    advance_to_update(apply, store);
    perform_step(apply, store, fault::answer_lost);
    REQUIRE_FALSE(finished(apply));
    SUBCASE("the record is read back")
    {
        const auto& result = complete(apply, store);
        REQUIRE(result.ok());
        CHECK(result->m_generation == 1);
        CHECK(store.sequence().size() == 1);
    }
    SUBCASE("the platform stays down")
    {
        perform_step(apply, store, fault::refused);
        apply.on_deadline();
        CHECK(kind_of(apply.result().status()) == failure_kind::platform_unavailable);
        CHECK(outcome_of(apply.result().status()) == outcome::unknown);
    }
    SUBCASE("another tenant's apply follows")
    {
        configuration_apply other(make_request("b", 1, "id-2"));
        REQUIRE(complete(other, store).ok());
        CHECK(complete(apply, store)->m_generation == 1);
    }
    SUBCASE("more applies follow than the history holds")
    {
        for (std::size_t i = 0; i < max_history + 1; ++i)
        {
            configuration_apply other(make_request("b", 1, "other-" + std::to_string(i)));
            REQUIRE(complete(other, store).ok());
        }
        const auto& result = complete(apply, store);
        REQUIRE_FALSE(result.ok());
        CHECK(kind_of(result.status()) == failure_kind::outcome_unknown);
        CHECK(outcome_of(result.status()) == outcome::unknown);
    }
    SUBCASE("the client retries with the same id")
    {
        configuration_apply again(make_request("a", 1, "id-1"));
        const auto& result = complete(again, store);
        REQUIRE(result.ok());
        CHECK(result->m_generation == 1);
        CHECK(store.sequence().size() == 1);
    }
    SUBCASE("the same id is used for another file")
    {
        configuration_apply again(make_request("a", 2, "id-1"));
        CHECK(kind_of(complete(again, store).status()) == failure_kind::key_reused);
    }
}

TEST_CASE("an outage before any update ends as not run")
{
    fake_store store;
    configuration_apply apply(make_request("a", 1, "id-1"));
    perform_step(apply, store, fault::refused);
    CHECK(apply.next().m_needs_backoff);
    apply.on_deadline();
    CHECK(kind_of(apply.result().status()) == failure_kind::platform_unavailable);
    CHECK(outcome_of(apply.result().status()) == outcome::not_run);
}

// Guards against lost, duplicated or misreported applies under random interleavings and faults.
TEST_CASE("accepted generations form one sequence and nothing accepted is lost")
{
    const auto property = [](bool same_tenant, bool naive)
    { return [=] { RC_ASSERT(run_concurrent_applies(same_tenant, naive) == std::string()); }; };
    SUBCASE("operators of one tenant")
    {
        CHECK(holds(property(true, false), 3000, 20260402));
    }
    SUBCASE("operators of different tenants")
    {
        CHECK(holds(property(false, false), 3000, 20260403));
    }
    SUBCASE("unconditional updates violate the property")
    {
        CHECK_FALSE(holds(property(false, true), 3000, 20260404, true));
    }
    SUBCASE("a retry with another id is accepted as a second apply")
    {
        fake_store store;
        configuration_apply apply(make_request("a", 1, "id-1"));
        advance_to_update(apply, store);
        perform_step(apply, store, fault::answer_lost);
        configuration_apply again(make_request("a", 1, "id-2"));
        REQUIRE(complete(again, store).ok());
        CHECK(store.sequence().size() == 2);
    }
}

// Guards against activating an older configuration that arrives late or from a stale read.
TEST_CASE("the generation of a process never decreases")
{
    CHECK(holds(
        []
        {
            configuration_state state;
            std::uint64_t highest = 0;
            for (int i = 0; i < 30; ++i)
            {
                auto offered = std::make_shared<configuration>();
                offered->m_generation = *rc::gen::inRange<std::uint64_t>(0, 12);
                const bool taken = state.offer(offered);
                RC_ASSERT(taken == (offered->m_generation > highest));
                highest = std::max(highest, offered->m_generation);
                RC_ASSERT(state.generation() == highest);
            }
        },
        500, 20260405));
}

// Guards against a number of watches that grows with the number of processes, and against none.
TEST_CASE("exactly two entry processes watch the platform")
{
    std::vector<std::string> entries;
    entries.reserve(20);
    for (int i = 0; i < 20; ++i)
        entries.push_back("entry-" + std::to_string(i));
    const auto watchers = [&]
    {
        return std::count_if(
            entries.begin(), entries.end(),
            [&](const auto& entry) { return is_elected_watcher(entry, entries); });
    };
    CHECK(watchers() == 2);
    SUBCASE("another takes over after one of them fails")
    {
        std::erase_if(
            entries, [&, first = true](const auto& entry) mutable
            { return first && is_elected_watcher(entry, entries) && !(first = false); });
        REQUIRE(entries.size() < 20);
        CHECK(watchers() == 2);
    }
    SUBCASE("an entry process without peers watches")
    {
        CHECK(is_elected_watcher("entry-x", {}));
    }
}

// Guards against a conflict report that omits the changes or reveals key hashes.
TEST_CASE("the difference of two files lists the changes")
{
    auto from = make_file("a", 4);
    from.m_accounts = {{"kept", {"sha256:00:11"}, 10, 10, 10, 1}, {"gone", {}, 1, 1, 1, 1}};
    auto to = make_file("a", 8);
    to.m_accounts = {{"kept", {"sha256:22:33"}, 10, 10, 10, 4}, {"new", {}, 1, 1, 1, 1}};
    CHECK(
        configuration_difference(from, to) ==
        std::vector<std::string>{
            "~ models/model layers: 4 -> 8", "- accounts/gone",
            "~ accounts/kept key_hashes: changed", "~ accounts/kept weight: 1 -> 4",
            "+ accounts/new"});
    CHECK(configuration_difference(to, to).empty());
}

TEST_SUITE_END();
