#include "process/raw_connection.hpp"
#include "process/router_system.hpp"

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("reported_faults");

namespace
{

std::string refusal_of(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nFulmaryard-Attempt-Id: {}\r\n"
        "Fulmaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        call);
}

/// Begin of a success, without the end of its head.
std::string success_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n",
        call);
}

std::string success_of(const std::string& call)
{
    return success_head(call) + "Content-Length: 4\r\n\r\ndone";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: x\n\n", id);
    return text;
}

std::string chunk(const std::string& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

} // namespace

TEST_CASE("an endpoint that writes an earlier refusal again on a kept connection")
{
    // Guards against a caller who is told that a call has not run while an endpoint runs it.
    std::string refused;
    std::map<std::string, int> runs;
    scripted_endpoint endpoint(
        [&](const std::string& call, int earlier) -> scripted_endpoint::reply
        {
            if (refused.empty() && call.starts_with("refused"))
                return {refusal_of(refused = call), false};
            ++runs[call];
            const bool repeats = earlier > 0 && !refused.empty();
            return {(repeats ? refusal_of(refused) : "") + success_of(call), false};
        });
    router_system system(4, 0);
    system.add_endpoint("scripted", endpoint, std::nullopt);
    system.start_router("router-1");
    const test_client client(system.address("router-1"));
    std::string method = "POST";
    std::string target = "/orders/1";
    SUBCASE("for a call that may run once") {}
    SUBCASE("for a call that may be repeated")
    {
        method = "GET";
        target = "/look/1";
    }
    const auto first = client.send(router_system::make_request(method, target, "refused-1"));
    REQUIRE(first.ok());
    CHECK(runs["refused-1"] <= 1);
    CHECK((first->m_status == 503) == (runs["refused-1"] == 0));
    const auto next = client.send(router_system::make_request(method, target, "next-1"));
    REQUIRE(next.ok());
    CHECK(next->m_status == 200);
    CHECK(next->m_body == "done");
    CHECK(runs["next-1"] == 1);
}

TEST_CASE("an endpoint that stops in the middle of its answer's head")
{
    // Guards against a success with a short body that looks complete.
    scripted_endpoint endpoint(
        [](const std::string& call, int) -> scripted_endpoint::reply {
            return {success_head(call) + "Content-Le", true};
        });
    router_system system(0, 0);
    system.add_endpoint("scripted", endpoint, std::nullopt);
    system.add_endpoint("first", endpoint, layer_range{0, 6});
    system.add_endpoint("second", endpoint, layer_range{6, 12});
    system.start_router("router-1");
    for (const std::string target : {"/orders/1", "/chat/1"})
    {
        CAPTURE(target);
        const auto id = "call" + target.substr(1, 4);
        const auto response = test_client(system.address("router-1"))
                                  .send(router_system::make_request("POST", target, id));
        CHECK(endpoint.arrivals(id) >= 1);
        CHECK((!response.ok() || response->m_status == 502));
    }
}

TEST_CASE("a stream that broke off after its beginning")
{
    // Guards against the error of the next endpoint in the middle of a stream, and against a stream
    // that ends as if it were complete.
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    std::string next_answer = "HTTP/1.1 500 Oops\r\nFulmaryard-Attempt-Id: "
                              "call-1\r\nContent-Length: 10\r\n\r\nerror text";
    SUBCASE("and whose next endpoint answers with an error") {}
    SUBCASE("and whose next endpoint answers with an error of its own without length")
    {
        next_answer = "HTTP/1.1 500 Oops\r\nFulmaryard-Attempt-Id: call-1\r\n\r\nerror text";
    }
    SUBCASE("and whose next endpoint closes an answer without length before an event")
    {
        next_answer = success_head("call-1") + "\r\n";
    }
    int calls = 0;
    const auto script = [&](const std::string& call, int) -> scripted_endpoint::reply
    {
        if (++calls == 1)
            return {success_head(call) + chunked + chunk(events(1, 3)), true};
        return {next_answer, true};
    };
    scripted_endpoint one(script);
    scripted_endpoint other(script);
    scripted_endpoint last(script);
    router_system system(0, 0);
    system.add_endpoint("one", one, layer_range{0, 6});
    system.add_endpoint("other", other, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    raw_connection caller(system.address("router-1"));
    caller.send("POST /chat/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: call-1\r\n"
                "Fulmaryard-Deadline-Ms: 8000\r\nFulmaryard-Token-Usage: 10,100\r\n"
                "Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n");
    const auto answer = caller.receive();
    CHECK(calls == 2);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("id: 3\n") != std::string::npos);
    CHECK(answer.find("error text") == std::string::npos);
    CHECK(answer.find("500 Oops") == std::string::npos);
    // The last chunk would mark the stream as complete.
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("a stream without a length that ends with its connection")
{
    // Guards against a stream that broke off and is taken for complete, and the reverse.
    std::string body;
    bool complete = false;
    SUBCASE("after an event is complete")
    {
        body = events(1, 3);
        complete = true;
    }
    SUBCASE("inside an event has broken off")
    {
        body = events(1, 3) + "id: 4\nda";
    }
    SUBCASE("before any event has broken off") {}
    const auto script = [&](const std::string& call, int) -> scripted_endpoint::reply {
        return {success_head(call) + "\r\n" + body, true};
    };
    scripted_endpoint one(script);
    scripted_endpoint last(script);
    router_system system(0, 0);
    system.add_endpoint("one", one, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request("POST", "/chat/1", "call-1"));
    CHECK(one.arrivals("call-1") >= 1);
    CHECK((response.ok() && response->m_status == 200) == complete);
}

TEST_SUITE_END();
