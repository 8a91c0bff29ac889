// Tests endpoints that fall silent in the middle of a stream and go on: their streams are not
// ended.

#include "process/raw_connection.hpp"
#include "process/received_stream.hpp"
#include "process/router_system.hpp"

#include <fulmaryard/peer_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("silent_endpoints");

namespace
{

// Longer than a router waits for an event before it looks for another path.
constexpr auto silence = 1700ms;

// Of the route in the stand-in's configuration.
constexpr int route_attempts = 2;

const std::vector<std::string> all_ids{"1", "2", "3", "4", "5", "6"};

std::string stream_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        call);
}

/// Head of an answer that ends with its connection.
std::string unframed_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        call);
}

std::string refusal(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nFulmaryard-Attempt-Id: {}\r\n"
        "Fulmaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        call);
}

std::string chunk(const std::string& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += chunk(fmt::format("id: {}\ndata: x\n\n", id));
    return text;
}

const std::string last_chunk = "0\r\n\r\n";

std::string unframed_events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: x\n\n", id);
    return text;
}

std::string whole_answer(const std::string& call, const std::string& body)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{}",
        call, body.size(), body);
}

/// A request of a caller that keeps its connection.
std::string request_text(const std::string& target, const std::string& call)
{
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: {}\r\n"
        "Fulmaryard-Deadline-Ms: 8000\r\nFulmaryard-Token-Usage: 10,100\r\n"
        "Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n",
        target, call);
}

/// Endpoints that hold the first half of the layers, with sound ones for the second half. The one
/// that a call reaches first falls silent and goes on; the others answer as the test says.
struct pipeline
{
    using answer = std::function<scripted_endpoint::reply(const std::string& call)>;

    pipeline(std::size_t first_count, std::size_t last_count, answer silent, answer others)
        : m_silent(std::move(silent)),
          m_others(std::move(others))
    {
        for (std::size_t i = 0; i < first_count + last_count; ++i)
        {
            auto& group = i < first_count ? m_firsts : m_lasts;
            group.push_back(std::make_unique<scripted_endpoint>([this](const std::string& call, int)
                                                                { return next_reply(call); }));
        }
    }

    scripted_endpoint::reply next_reply(const std::string& call)
    {
        auto reply = m_calls++ == 0 ? m_silent(call) : m_others(call);
        m_runs += reply.m_bytes == refusal(call) ? 0 : 1;
        return reply;
    }

    void list_at(const router_system& system)
    {
        for (std::size_t i = 0; i < m_firsts.size(); ++i)
            system.add_endpoint(fmt::format("first-{}", i), *m_firsts[i], layer_range{0, 6});
        for (std::size_t i = 0; i < m_lasts.size(); ++i)
            system.add_endpoint(fmt::format("last-{}", i), *m_lasts[i], layer_range{6, 12});
    }

    answer m_silent;
    answer m_others;
    std::atomic<int> m_calls{0}; ///< Calls that arrived at an endpoint.
    std::atomic<int> m_runs{0};  ///< Those that were not refused.
    std::vector<std::unique_ptr<scripted_endpoint>> m_firsts;
    std::vector<std::unique_ptr<scripted_endpoint>> m_lasts;
};

/// What an endpoint has sent when it falls silent.
struct silent_moment
{
    std::string_view m_name;
    bool m_head_sent;
    int m_events;
};

constexpr std::array silent_moments{
    silent_moment{"before its answer", false, 0}, silent_moment{"after the head", true, 0},
    silent_moment{"after three events", true, 3}};

received_stream
receive(const router_system& system, const std::string& call, const std::string& target = "/chat/1")
{
    return {system.address("router-1"), router_system::make_request("POST", target, call)};
}

} // namespace

TEST_CASE("a stream whose endpoint falls silent and goes on")
{
    // Guards against a running stream that is ended because no other endpoint takes it over.
    std::size_t first_count = 4;
    pipeline::answer others;
    SUBCASE("while the others refuse it")
    {
        others = [](const std::string& call) -> scripted_endpoint::reply
        { return {refusal(call)}; };
    }
    SUBCASE("while the others break it off")
    {
        others = [](const std::string& call) -> scripted_endpoint::reply {
            return {stream_head(call), true};
        };
    }
    SUBCASE("while the others end within an event")
    {
        others = [](const std::string& call) -> scripted_endpoint::reply {
            return {unframed_head(call) + "id: 1\nda", true};
        };
    }
    SUBCASE("while the others end before an event")
    {
        others = [](const std::string& call) -> scripted_endpoint::reply {
            return {unframed_head(call), true};
        };
    }
    SUBCASE("while the others are silent as well")
    {
        others = [](const std::string&) { return scripted_endpoint::reply{}; };
    }
    SUBCASE("while there is no other")
    {
        first_count = 1;
        others = [](const std::string&) { return scripted_endpoint::reply{}; };
    }
    for (const auto& moment : silent_moments)
    {
        INFO(std::string(moment.m_name));
        pipeline endpoints(
            first_count, 1,
            [&](const std::string& call) -> scripted_endpoint::reply
            {
                const auto head = stream_head(call);
                const auto rest = events(moment.m_events + 1, 6) + last_chunk;
                if (moment.m_head_sent)
                    return {head + events(1, moment.m_events), false, silence, rest};
                return {"", false, silence, head + rest};
            },
            others);
        router_system system(0, 0);
        endpoints.list_at(system);
        system.start_router("router-1", "retry_slack: 100000\n");
        const auto stream = receive(system, "call-1");
        CHECK(stream.m_status == 200);
        CHECK(stream.m_complete);
        CHECK(stream.m_ids == all_ids);
        CHECK(endpoints.m_runs <= route_attempts);
    }
}

TEST_CASE("a stream whose endpoint is silent before it ends the answer with its connection")
{
    // Guards against a takeover that writes to the caller after the end of the answer, where the
    // response to the caller's next request is due.
    std::string target;
    std::optional<layer_range> layers;
    SUBCASE("on a path of a pipeline")
    {
        target = "/chat/1";
        layers = layer_range{0, 6};
    }
    SUBCASE("at a service without a pipeline")
    {
        target = "/feed/1";
    }
    // The answer ends before a takeover is due, its check for a killed endpoint only after that.
    for (const auto silence_before_end : {1200ms, 1230ms, 1260ms})
    {
        CAPTURE(silence_before_end.count());
        pipeline endpoints(
            2, 1,
            [&](const std::string& call) -> scripted_endpoint::reply {
                return {unframed_head(call) + unframed_events(1, 6), true, silence_before_end};
            },
            [](const std::string& call) -> scripted_endpoint::reply
            {
                if (call == "next")
                    return {whole_answer(call, unframed_events(1, 1))};
                return {"", false, 150ms, whole_answer(call, "")};
            });
        router_system system(0, 0);
        for (std::size_t i = 0; i < endpoints.m_firsts.size(); ++i)
            system.add_endpoint(fmt::format("first-{}", i), *endpoints.m_firsts[i], layers);
        system.add_endpoint("last", *endpoints.m_lasts[0], layer_range{6, 12});
        system.start_router("router-1", "retry_slack: 100000\n");

        const raw_connection caller(system.address("router-1"));
        caller.send(request_text(target, "stream"));
        auto received = caller.receive("id: 6\n");
        // The endpoints do not answer load queries either, so the check for a killed one is slow.
        std::this_thread::sleep_for(silence_before_end - 150ms);
        for (const auto& first : endpoints.m_firsts)
            first->set_reports(scripted_endpoint::report_mode::silent);
        received += caller.receive(last_chunk);
        CHECK(received.ends_with(last_chunk));
        caller.send(request_text(target, "next"));
        const auto next = caller.receive(last_chunk);
        CHECK(next.starts_with("HTTP/1.1 200 "));
        CHECK(next.find("id: 1\n") != std::string::npos);
        CHECK(next.ends_with(last_chunk));
    }
}

TEST_CASE("a stream that another endpoint takes over")
{
    // Guards against events that are lost or repeated as two endpoints answer one stream.
    pipeline endpoints(
        4, 1,
        [](const std::string& call) -> scripted_endpoint::reply {
            return {stream_head(call) + events(1, 3), false, silence, events(4, 6) + last_chunk};
        },
        [](const std::string& call) -> scripted_endpoint::reply {
            return {stream_head(call) + events(4, 4), false, silence, events(5, 6) + last_chunk};
        });
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    const auto stream = receive(system, "call-1");
    CHECK(stream.m_complete);
    CHECK(stream.m_ids == all_ids);
    CHECK(endpoints.m_runs == route_attempts);
    REQUIRE(stream.m_received.size() == all_ids.size());
    // The fourth event is that of the other endpoint.
    CHECK(stream.m_received[3] - stream.m_received[2] < silence);
}

TEST_CASE("streams of a router that does not run for a while")
{
    // Guards against a router that takes its own pause for the silence of its endpoints.
    constexpr int streams = 200;
    // The second half arrives while the router does not run.
    const auto answer = [](const std::string& call) -> scripted_endpoint::reply {
        return {stream_head(call) + events(1, 3), false, 1200ms, events(4, 6) + last_chunk};
    };
    pipeline endpoints(30, 8, answer, answer);
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    std::vector<std::unique_ptr<received_stream>> received(streams);
    std::vector<std::jthread> callers;
    callers.reserve(streams);
    for (int i = 0; i < streams; ++i)
    {
        callers.emplace_back(
            [&, i] {
                received[i] =
                    std::make_unique<received_stream>(receive(system, fmt::format("call-{}", i)));
            });
    }
    const auto arrived = [&] { return endpoints.m_calls >= streams; };
    REQUIRE(wait_until(arrived));
    std::this_thread::sleep_for(300ms);
    system.process("router-1").kill(SIGSTOP);
    std::this_thread::sleep_for(2s);
    system.process("router-1").kill(SIGCONT);
    callers.clear();
    int complete = 0;
    for (const auto& stream : received)
        complete += stream->m_complete && stream->m_ids == all_ids ? 1 : 0;
    CHECK(complete == streams);
    CHECK(endpoints.m_calls == streams);
    CHECK(system.metrics("router-1").find("takeovers_total") == std::string::npos);
}

TEST_CASE("a stream whose caller does not read for a while")
{
    // Guards against a slow caller that is taken for a silent endpoint.
    int event_count = 10'000;
    std::size_t event_bytes = 2 * 1024;
    SUBCASE("and whose events are short") {}
    SUBCASE("and whose events are long")
    {
        event_count = 400;
        event_bytes = 64 * 1024;
    }
    const auto answer = [&](const std::string& call) -> scripted_endpoint::reply
    {
        std::string text = stream_head(call);
        for (int id = 1; id <= event_count; ++id)
            text += chunk(fmt::format("id: {}\ndata: {}\n\n", id, std::string(event_bytes, 'x')));
        return {text + last_chunk};
    };
    pipeline endpoints(4, 1, answer, answer);
    router_system system(0, 0);
    endpoints.list_at(system);
    system.start_router("router-1", "retry_slack: 100000\n");
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(*parse_address(system.address("router-1")));
    const std::string request =
        "POST /chat/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nFulmaryard-Attempt-Id: call-1\r\n"
        "Fulmaryard-Deadline-Ms: 8000\r\nFulmaryard-Token-Usage: 10,100\r\n"
        "Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(2s);
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    CHECK(received.ends_with(last_chunk));
    int count = 0;
    for (std::size_t at = 0; (at = received.find("id: ", at)) != std::string::npos; ++at)
    {
        ++count;
        CHECK(received.compare(at + 4, std::to_string(count).size(), std::to_string(count)) == 0);
    }
    CHECK(count == event_count);
    CHECK(endpoints.m_calls == 1);
}

TEST_CASE("a call whose endpoint is silent for a while and answers in time")
{
    // Guards against a call that is given up for an endpoint that refuses it.
    scripted_endpoint::reply other;
    int endpoint_count = 3;
    SUBCASE("while the others refuse it")
    {
        other = {refusal("call-1")};
    }
    SUBCASE("while the others are silent as well") {}
    SUBCASE("while the others break it off")
    {
        other = {"", true};
    }
    SUBCASE("while the others fail it")
    {
        other = {"HTTP/1.1 500 Internal Server Error\r\nFulmaryard-Attempt-Id: call-1\r\n"
                 "Fulmaryard-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"};
    }
    SUBCASE("while there is no other")
    {
        endpoint_count = 1;
    }
    std::atomic<int> calls{0};
    const auto script = [&](const std::string& call, int) -> scripted_endpoint::reply
    {
        if (calls++ > 0)
            return other;
        return {
            "", false, 1300ms,
            fmt::format(
                "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\n"
                "Fulmaryard-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
                call)};
    };
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    router_system system(0, 0);
    for (int i = 0; i < endpoint_count; ++i)
    {
        endpoints.push_back(std::make_unique<scripted_endpoint>(script));
        system.add_endpoint(fmt::format("plain-{}", i), *endpoints.back(), std::nullopt);
    }
    system.start_router("router-1", "retry_slack: 100000\n");
    auto request = router_system::make_request("GET", "/look/1", "call-1");
    request.m_fields[1].m_value = "1600";
    const auto response = test_client(system.address("router-1")).send(request);
    REQUIRE(response.ok());
    CHECK(response->m_status == 200);
    CHECK(response->m_body == "done");
    CHECK(calls <= route_attempts);
}

TEST_SUITE_END();
