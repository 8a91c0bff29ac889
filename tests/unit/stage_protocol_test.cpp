#include <fulmaryard/failure.hpp>
#include <fulmaryard/stage_node.hpp>
#include <fulmaryard/stream_owner.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace fulmaryard;

namespace
{

using time_point = std::chrono::steady_clock::time_point;

const time_point start{std::chrono::seconds(1000)};
const hello entry{"entry-a", "entry", "entry:1", 1};
const hello side{"side-a", "side", "side:1", 1};
const stream_id id{1, 2};

stage_node_settings make_node_settings(const std::string& process)
{
    stage_node_settings settings;
    settings.m_process = process;
    settings.m_address = "side:1";
    settings.m_model = "model";
    settings.m_layers = {0, 4};
    return settings;
}

open_stream first_open()
{
    open_stream open;
    open.m_stream = id;
    open.m_epoch = {1, 5};
    open.m_plan = {{"side-a", "side:1", {0, 4}}};
    open.m_model = "model";
    open.m_account = "account";
    open.m_request_id = "request";
    open.m_owner_address = "entry:1";
    open.m_prompt = "prompt";
    open.m_max_tokens = 4;
    open.m_generation = 1;
    return open;
}

stream_request request()
{
    return {"request", "account", "model", "prompt", 4, 0, 1};
}

stream_owner_settings owner_settings()
{
    stream_owner_settings settings;
    settings.m_process = "entry-a";
    settings.m_address = "entry:1";
    return settings;
}

template <typename Message, typename Actions>
std::vector<Message> sent_messages(const Actions& actions)
{
    std::vector<Message> found;
    for (const auto& action : actions)
        if (const auto* const message = std::get_if<send_message>(&action))
            if (const auto* const wanted = std::get_if<Message>(&message->m_message))
                found.push_back(*wanted);
    return found;
}

template <typename Action, typename Actions>
std::vector<Action> actions_of_type(const Actions& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions)
        if (const auto* const wanted = std::get_if<Action>(&action))
            found.push_back(*wanted);
    return found;
}

epoch epoch_of(const stream_owner::actions& actions)
{
    return sent_messages<open_stream>(actions).at(0).m_epoch;
}

} // namespace

TEST_SUITE_BEGIN("not_run");

// Guards against running a stream after its owner has told the caller that it was not run, for
// example when a duplicate of a refused open arrives late.
TEST_CASE("a refusal is final")
{
    stage_node node(make_node_settings("side-a"));
    const auto refusal = [&](const open_stream& open)
    {
        const auto actions = node.on_message(entry, open, start);
        CHECK(actions_of_type<engine_run>(actions).empty());
        return sent_messages<stream_refused>(actions).at(0).m_reason;
    };
    GIVEN("a stage that is draining")
    {
        node.begin_drain();
        CHECK(refusal(first_open()) == failure_kind::draining);
        THEN("a repeated open is refused again")
        {
            CHECK(refusal(first_open()) == failure_kind::draining);
        }
    }
    GIVEN("a stage whose engine was down")
    {
        node.on_engine_down(start);
        CHECK(refusal(first_open()) == failure_kind::endpoint_lost);
        WHEN("the engine is back")
        {
            node.on_engine_up();
            THEN("a late duplicate of the same open is still refused")
            {
                CHECK(refusal(first_open()) == failure_kind::endpoint_lost);
            }
        }
    }
    GIVEN("a stage that is full")
    {
        auto settings = make_node_settings("side-a");
        settings.m_max_streams = 0;
        stage_node full(settings);
        const auto actions = full.on_message(entry, first_open(), start);
        CHECK(sent_messages<stream_refused>(actions).at(0).m_reason == failure_kind::overloaded);
    }
    GIVEN("a stage with a newer configuration")
    {
        node.set_generation(2);
        CHECK(refusal(first_open()) == failure_kind::stale_generation);
    }
    GIVEN("a cancel that overtakes the open")
    {
        node.on_message(entry, cancel_stream{id, {1, 5}}, start);
        CHECK(refusal(first_open()) == failure_kind::endpoint_lost);
    }
}

// Guards against reporting "not run" for work that a stage may have started, and against reporting
// another outcome for work that no stage started.
TEST_CASE("the outcome of a failed stream follows from what the stages answered")
{
    stream_owner owner(owner_settings(), id, request(), {{"side-a", "side:1", {0, 4}}});
    const auto outcome_after_failure = [&]
    {
        const auto actions = owner.fail(failure_kind::no_endpoint, "no endpoint");
        return outcome_of(actions_of_type<fail_stream>(actions).at(0).m_status);
    };
    GIVEN("nothing was sent")
    {
        CHECK(outcome_after_failure() == outcome::not_run);
    }
    GIVEN("an open was sent")
    {
        const epoch at = epoch_of(owner.start(start));
        WHEN("no stage answered")
        {
            CHECK(outcome_after_failure() == outcome::unknown);
        }
        WHEN("the only stage refused it")
        {
            const auto actions =
                owner.on_message(side, stream_refused{id, at, 0, failure_kind::overloaded}, start);
            REQUIRE(actions_of_type<choose_replacement>(actions).size() == 1);
            THEN("the stream was not run")
            {
                CHECK(outcome_after_failure() == outcome::not_run);
            }
            THEN("the outcome is unknown if the replacement does not answer")
            {
                owner.replace_stage(0, {"side-b", "side:2", {0, 4}}, start);
                CHECK(outcome_after_failure() == outcome::unknown);
            }
        }
        WHEN("the plan is older than the stage's configuration")
        {
            const auto actions = owner.on_message(
                side, stream_refused{id, at, 0, failure_kind::stale_generation}, start);
            const auto failures = actions_of_type<fail_stream>(actions);
            REQUIRE(failures.size() == 1);
            CHECK(kind_of(failures[0].m_status) == failure_kind::stale_generation);
            CHECK(outcome_of(failures[0].m_status) == outcome::not_run);
        }
        WHEN("the stage accepted it")
        {
            owner.on_message(side, stream_opened{id, at, 0, 0}, start);
            CHECK(outcome_after_failure() == outcome::failed);
        }
    }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("right_caller");

// Guards against attaching a caller to a stream of another account or request.
TEST_CASE("a stream is attached by its own account and request only")
{
    stage_node node(make_node_settings("side-a"));
    node.on_message(entry, first_open(), start);
    attach_stream attach{id, {}, "account", "request", "entry:2"};
    SUBCASE("the same account and request")
    {
        const auto actions = node.on_message(entry, attach, start);
        CHECK(sent_messages<stream_attached>(actions).at(0).m_prompt == "prompt");
    }
    SUBCASE("another account")
    {
        attach.m_account = "other";
        const auto actions = node.on_message(entry, attach, start);
        CHECK(sent_messages<stream_attached>(actions).empty());
        CHECK(sent_messages<stream_refused>(actions).at(0).m_reason == failure_kind::forbidden);
    }
    SUBCASE("another request")
    {
        attach.m_request_id = "other";
        CHECK(sent_messages<stream_attached>(node.on_message(entry, attach, start)).empty());
    }
    SUBCASE("an unknown stream")
    {
        attach.m_stream = {3, 4};
        const auto actions = node.on_message(entry, attach, start);
        CHECK(
            sent_messages<stream_refused>(actions).at(0).m_reason == failure_kind::path_not_found);
    }
}

// Guards against a superseded owner cancelling the stream, which now belongs to its successor.
TEST_CASE("a superseded owner stops without sending a message")
{
    stream_owner owner(owner_settings(), id, request(), {{"side-a", "side:1", {0, 4}}});
    const epoch at = epoch_of(owner.start(start));
    const auto actions =
        owner.on_message(side, stream_refused{id, at, 0, failure_kind::stale_epoch}, start);
    CHECK(actions.empty());
    CHECK(owner.ended());
    CHECK(owner.cancel().empty());
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("layers_once");

// Guards against applying the result of a run of an earlier session to the current session.
TEST_CASE("the result of an earlier session is ignored")
{
    stage_node node(make_node_settings("side-a"));
    const auto runs = actions_of_type<engine_run>(node.on_message(entry, first_open(), start));
    REQUIRE(runs.size() == 1);
    engine_result late;
    late.m_run = runs[0].m_run;
    late.m_outputs.assign(6, "x");
    late.m_prompt_positions = 6;
    late.m_sampled = token{1, "a"};
    GIVEN("an engine that was lost and is back")
    {
        const auto lost = node.on_engine_down(start);
        CHECK(sent_messages<stage_failed>(lost).size() == 1);
        node.on_engine_up();
        auto again = first_open();
        again.m_epoch.m_number = 2;
        const auto actions = node.on_message(entry, again, start);
        REQUIRE(actions_of_type<engine_run>(actions).size() == 1);
        CHECK(actions_of_type<engine_run>(actions)[0].m_session != runs[0].m_session);
        THEN("the earlier result does nothing")
        {
            CHECK(node.on_engine_result(late, start).empty());
        }
    }
    GIVEN("an open of a lower epoch")
    {
        auto lower = first_open();
        lower.m_epoch = {0, 9};
        const auto actions = node.on_message(entry, lower, start);
        CHECK(sent_messages<stream_refused>(actions).at(0).m_reason == failure_kind::stale_epoch);
    }
}

// Guards against retaining memory for abandoned streams.
TEST_CASE("a stream without messages from its owner expires")
{
    stage_node node(make_node_settings("side-a"));
    node.on_message(entry, first_open(), start);
    CHECK(node.active_streams() == 1);
    SUBCASE("an owner that sends nothing")
    {
        node.on_tick(start + std::chrono::seconds(9));
        CHECK(node.active_streams() == 1);
        const auto actions = node.on_tick(start + std::chrono::seconds(11));
        CHECK(actions_of_type<engine_release>(actions).size() == 1);
        CHECK(node.active_streams() == 0);
    }
    SUBCASE("an owner that sends a keep-alive")
    {
        const pull wanted{id, {1, 5}, 0, "entry:1", pull_kind::keep_alive};
        node.on_message(entry, wanted, start + std::chrono::seconds(9));
        node.on_tick(start + std::chrono::seconds(11));
        CHECK(node.active_streams() == 1);
    }
}

TEST_SUITE_END();
