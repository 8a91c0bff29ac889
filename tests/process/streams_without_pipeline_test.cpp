#include "process/received_stream.hpp"
#include "process/router_system.hpp"

#include <atomic>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("streams_without_pipeline");

namespace
{

constexpr int event_count = 5;

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: x\n\n", id);
    return text;
}

std::string stream_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        call);
}

/// Id of the first event that a request asks for.
int first_event(const scripted_endpoint& endpoint, const std::string& call)
{
    const std::string name = "\r\nLast-Event-Id: ";
    const auto head = endpoint.last_head(call);
    const auto at = head.find(name);
    return at == std::string::npos ? 1 : std::stoi(head.substr(at + name.size())) + 1;
}

received_stream
receive(const router_system& system, const std::string& target, const std::string& call)
{
    return {system.address("router-1"), router_system::make_request("POST", target, call)};
}

} // namespace

TEST_CASE("a stream of a service without a pipeline")
{
    // Guards against a stream that broke off inside an event and reaches its caller as complete.
    std::string broken = events(1, 3) + "id: 4\nda";
    std::atomic<int> calls{0};
    std::atomic<bool> all_break{false};
    const auto script = [&](scripted_endpoint*& self)
    {
        return [&](const std::string& call, int) -> scripted_endpoint::reply
        {
            if (calls++ == 0 || all_break)
                return {stream_head(call) + broken, true};
            return {stream_head(call) + events(first_event(*self, call), event_count), true};
        };
    };
    scripted_endpoint* one_self = nullptr;
    scripted_endpoint* other_self = nullptr;
    scripted_endpoint one(script(one_self));
    scripted_endpoint other(script(other_self));
    one_self = &one;
    other_self = &other;
    router_system system(0, 0);
    system.add_endpoint("one", one, std::nullopt);
    system.add_endpoint("other", other, std::nullopt);
    system.start_router("router-1");
    const std::vector<std::string> all{"1", "2", "3", "4", "5"};

    SUBCASE("that breaks off inside an event")
    {
        SUBCASE("goes on at another endpoint if it may be resumed")
        {
            const auto stream = receive(system, "/feed/1", "call-1");
            CHECK(stream.m_status == 200);
            CHECK(stream.m_complete);
            CHECK(stream.m_ids == all);
            CHECK(one.arrivals("call-1") == 1);
            CHECK(other.arrivals("call-1") == 1);
        }
        SUBCASE("is broken off for its caller if it may run once only")
        {
            const auto stream = receive(system, "/feed-once/1", "call-1");
            CHECK_FALSE(stream.m_complete);
            CHECK(calls == 1);
        }
        SUBCASE("is broken off for its caller if all endpoints break it off")
        {
            all_break = true;
            const auto stream = receive(system, "/feed/1", "call-1");
            CHECK_FALSE(stream.m_complete);
            CHECK(one.arrivals("call-1") + other.arrivals("call-1") == 2);
        }
    }
    SUBCASE("that breaks off before its first event is not a complete one without events")
    {
        broken.clear();
        all_break = true;
        const auto stream = receive(system, "/feed-once/1", "call-1");
        CHECK(stream.m_status != 200);
    }
    SUBCASE("that is whole reaches its caller")
    {
        calls = 1;
        const auto stream = receive(system, "/feed/1", "call-1");
        CHECK(stream.m_status == 200);
        CHECK(stream.m_complete);
        CHECK(stream.m_ids == all);
        // Endpoints of such a service know no layers.
        CHECK(one.last_head("call-1").find("Fulmaryard-Hop-Count") == std::string::npos);
        CHECK(other.last_head("call-1").find("Fulmaryard-Hop-Count") == std::string::npos);
    }
}

TEST_CASE("a slow stream of a service without a pipeline reaches its caller event by event")
{
    // Guards against a stream that is held back until it is complete; its caller would give it up.
    constexpr auto pause = 900ms;
    scripted_endpoint endpoint(
        [&](const std::string& call, int) -> scripted_endpoint::reply {
            return {stream_head(call) + events(1, 2), true, pause, events(3, event_count)};
        });
    router_system system(0, 0);
    system.add_endpoint("one", endpoint, std::nullopt);
    system.start_router("router-1");
    const auto stream = receive(system, "/feed/1", "call-1");
    CHECK(stream.m_complete);
    REQUIRE(stream.m_ids.size() == event_count);
    CHECK(stream.m_received[2] - stream.m_received[1] >= pause / 2);
}

TEST_CASE("a stream that no endpoint of a service without a pipeline runs is refused")
{
    // Guards against a stream that waits for capacity of pipelines, and a refusal without a time.
    scripted_endpoint endpoint(
        [](const std::string& call, int) -> scripted_endpoint::reply
        {
            return {
                fmt::format(
                    "HTTP/1.1 503 Service Unavailable\r\nFulmaryard-Attempt-Id: {}\r\n"
                    "Fulmaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    call),
                false};
        });
    router_system system(0, 0);
    system.add_endpoint("one", endpoint, std::nullopt);
    system.start_router("router-1");
    for (const std::string target : {"/feed/1", "/feed-once/1"})
    {
        CAPTURE(target);
        const auto response = test_client(system.address("router-1"))
                                  .send(router_system::make_request("POST", target, "c" + target));
        REQUIRE(response.ok());
        CHECK(response->m_status == 503);
        CHECK(find_field(response->m_fields, "Retry-After"));
        CHECK(endpoint.arrivals("c" + target) >= 1);
    }
}

TEST_SUITE_END();
