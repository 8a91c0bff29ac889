#include <fulmaryard/failure.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/peer_message.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

TEST_CASE("a peer message is refused when it is cut short or states a false length")
{
    // Guards against a length field that makes the receiver allocate more than it received.
    open_stream sent;
    sent.m_prompt = "plasters";
    sent.m_model = "kit-advisor";
    const std::string whole = encode(sent);
    const auto decoded = decode(whole);
    REQUIRE(decoded.ok());
    CHECK(std::get<open_stream>(*decoded) == sent);

    SUBCASE("cut short")
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            CAPTURE(size);
            CHECK_FALSE(decode(whole.substr(0, size)).ok());
        }
    }
    SUBCASE("false length")
    {
        const auto length = whole.find("plasters") - 8;
        for (const int byte : {0, 3, 7})
        {
            CAPTURE(byte);
            std::string changed = whole;
            changed[length + static_cast<std::size_t>(byte)] = '\x7f';
            const auto refused = decode(changed);
            REQUIRE_FALSE(refused.ok());
            CHECK(kind_of(refused.status()) == failure_kind::invalid_request);
            CHECK(message_of(refused.status()) == "a length exceeds the message");
        }
    }
}

TEST_CASE("a failure kind that no version knows reads as internal")
{
    // Guards against a read beyond the table for a number that a peer sent.
    const auto unknown = static_cast<failure_kind>(200);
    CHECK(to_string(unknown) == "internal");
    CHECK(http_status(unknown) == 500);
}

TEST_CASE("a remote procedure call nested beyond the parser's limit is answered with an error")
{
    // Guards against the parser's exception, which would end the connection without an answer.
    json_rpc_server server;
    const std::string nested(100'000, '[');
    CHECK(server.handle(nested).find("-32700") != std::string::npos);
}

TEST_CASE("a malformed response of a peer is an error and does not end the process")
{
    // Guards against exceptions of the JSON reader inside the library's client, whose exception
    // specifications end the process.
    for (const std::string& response : std::vector<std::string>{
             "", "1", "null", "[]", "\"text\"", "{", "{}", std::string(100'000, '['),
             R"({"jsonrpc":2,"id":1,"result":1})", R"({"jsonrpc":"2.0","id":1,"error":1})",
             R"({"jsonrpc":"2.0","id":1,"error":{}})",
             R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":"y"}})",
             R"({"jsonrpc":"2.0","id":1,"error":{"code":99999999999,"message":"y"}})",
             R"({"jsonrpc":"2.0","id":1,"error":null})", R"({"jsonrpc":"2.0","id":1})"})
    {
        CAPTURE(response.substr(0, 60));
        CHECK_FALSE(read_json_rpc_response(response).m_error.empty());
    }
    CHECK(read_json_rpc_response(R"({"jsonrpc":"2.0","id":1,"result":1})").m_json == "1");
}

TEST_SUITE_END();
