#include <fulmaryard/engine_codec.hpp>
#include <fulmaryard/engine_info.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

// Guards against incompatible changes to the engine's published protocol.
TEST_CASE("messages to the engine")
{
    engine_run run;
    run.m_run = 7;
    run.m_stream = {1, 2};
    run.m_session = 3;
    run.m_first_position = 4;
    run.m_sample = true;

    SUBCASE("a run with inputs")
    {
        run.m_inputs = {std::string("\x00\xff", 2), ""};
        CHECK(
            encode_engine_run(run) ==
            R"({"op":"run","run":7,"stream":"00000000000000010000000000000002","session":3,)"
            R"("first":4,"sample":true,"priority":0,"tokens":[],"inputs":["00ff",""]})");
    }
    SUBCASE("a run with a prompt and tokens")
    {
        run.m_prompt = "a \"b\"";
        run.m_tokens = {{9, "nine"}};
        CHECK(
            encode_engine_run(run) ==
            R"({"op":"run","run":7,"stream":"00000000000000010000000000000002","session":3,)"
            R"("first":4,"sample":true,"priority":0,"prompt":"a \"b\"","tokens":[9],"inputs":[]})");
    }
    SUBCASE("a release")
    {
        CHECK(
            encode_engine_release({{1, 2}, 3}) ==
            R"({"op":"cancel","stream":"00000000000000010000000000000002","session":3})");
    }
    SUBCASE("an order")
    {
        CHECK(
            *encode_engine_order({5, "load", R"({"model":"m"})"}) ==
            R"({"op":"order","epoch":5,"kind":"load","args":{"model":"m"}})");
        CHECK_FALSE(encode_engine_order({5, "load", "[]"}).ok());
    }
}

TEST_CASE("messages from the engine")
{
    const auto read = [](std::string_view text) { return decode_engine_message(text); };
    SUBCASE("a result")
    {
        const auto message = read(R"({"op":"ran","run":7,"outputs":["00fF"],"prompt_positions":2,)"
                                  R"("sampled":{"id":1,"text":"x"},"finished":true})");
        REQUIRE(message.ok());
        engine_result expected;
        expected.m_run = 7;
        expected.m_outputs = {std::string("\x00\xff", 2)};
        expected.m_prompt_positions = 2;
        expected.m_sampled = token{1, "x"};
        expected.m_finished = true;
        CHECK(*message == engine_message(expected));
    }
    SUBCASE("a failure")
    {
        const auto message = read(R"({"op":"failed","run":7,"reason":"full"})");
        REQUIRE(message.ok());
        CHECK(std::get<engine_result>(*message).m_failed);
    }
    SUBCASE("an answer to an order")
    {
        const auto message = read(R"({"op":"ordered","accepted":false,"epoch":3})");
        REQUIRE(message.ok());
        CHECK(*message == engine_message(engine_order_answer{false, 3}));
    }
    SUBCASE("malformed messages")
    {
        for (const auto* text :
             {"", "[]", "{}", R"({"op":"ran"})", R"({"op":"ran","run":-1,"outputs":[]})",
              R"({"op":"ran","run":1,"outputs":["0"]})", R"({"op":"ran","run":1,"outputs":["0g"]})",
              R"({"op":"ran","run":1,"outputs":[],"sampled":{"id":1}})", R"({"op":"other"})"})
            CHECK_FALSE(read(text).ok());
    }
}

TEST_CASE("engine information")
{
    const auto info = parse_engine_info(
        R"({"kind":"k","model":"m","layers":[0,8],"layers_total":24,"step_time_us":5000,)"
        R"("batch_limit":16,"kv_positions":1000,"kv_free":900,"load":3})");
    REQUIRE(info.ok());
    CHECK(*info == engine_info{"k", "m", {0, 8}, 24, 5000, 16, 1000, 900});
    CHECK_FALSE(parse_engine_info(R"({"kind":"k","model":"m"})").ok());
    CHECK_FALSE(parse_engine_info(R"({"kind":"k","model":"m","layers":[8,8]})").ok());
}

TEST_SUITE_END();
