#include <fulmaryard/failure.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/peer_message.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

TEST_CASE("a truncated peer message or one with a wrong length field is rejected")
{
    // A length field must not make the receiver allocate more bytes than the message has.
    open_stream sent;
    sent.m_prompt = "plasters";
    sent.m_model = "kit-advisor";
    const std::string whole = encode(sent);
    const auto decoded = decode(whole);
    REQUIRE(decoded.ok());
    CHECK(std::get<open_stream>(*decoded) == sent);

    SUBCASE("truncated")
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            CAPTURE(size);
            CHECK_FALSE(decode(whole.substr(0, size)).ok());
        }
    }
    SUBCASE("wrong length field")
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

TEST_CASE("an unknown failure kind is reported as internal")
{
    // A number received from a peer must not cause an out-of-bounds read of the table of kinds.
    const auto unknown = static_cast<failure_kind>(200);
    CHECK(to_string(unknown) == "internal");
    CHECK(http_status(unknown) == 500);
}

TEST_CASE("a JSON-RPC request nested beyond the limit of the parser gets an error response")
{
    // An uncaught exception of the parser would close the connection without a response.
    json_rpc_server server;
    const std::string nested(100'000, '[');
    CHECK(server.handle(nested).find("-32700") != std::string::npos);
}

TEST_CASE(
    "a malformed JSON-RPC response is reported as an error and does not terminate the process")
{
    // The JSON reader throws inside the client of the JSON-RPC library, whose exception
    // specifications would terminate the process.
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
