#include "process/router_system.hpp"

#include <atomic>
#include <csignal>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("answers_without_end");

namespace
{

using steady = std::chrono::steady_clock;

// The users' rule on late answers counts requests that are unanswered this long after their time.
constexpr auto late_after = 500ms;
constexpr auto give_up_after = 3s;

/// Less than the limit of a body that the router accepts.
constexpr std::size_t large_body_bytes = 4'000'000;

/// Memory of the smallest instances on the users' platform.
constexpr std::size_t instance_memory_kb = 160 * 1024;

std::string answer_head(const std::string& call, const std::string& status = "200 OK")
{
    return fmt::format(
        "HTTP/1.1 {}\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n", status,
        call);
}

scripted_endpoint::reply whole_answer(const std::string& call)
{
    return {answer_head(call) + "Content-Length: 4\r\n\r\ndone", false};
}

scripted_endpoint::reply whole_stream(const std::string& call)
{
    const std::string events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    return {
        answer_head(call) + fmt::format("Content-Length: {}\r\n\r\n", events.size()) + events,
        false};
}

/// An answer that begins with `begin` and goes on with `repeated` until the router closes.
scripted_endpoint::reply endless_answer(const std::string& begin, const std::string& repeated)
{
    return {begin, true, 0ms, "", repeated};
}

/// The same, which pauses after a large body, so that the router holds many at once.
scripted_endpoint::reply large_endless_answer(const std::string& begin, const std::string& repeated)
{
    std::string body;
    while (body.size() < large_body_bytes)
        body += repeated;
    return {begin + body, true, 1s, repeated, repeated};
}

/// What callers see that send one request after another at the same time, each with a time limit.
struct caller_load
{
    std::chrono::milliseconds m_time_limit;
    std::atomic<int> m_sent{0};
    std::atomic<int> m_late{0};       ///< Not answered `late_after` after their time.
    std::atomic<int> m_unanswered{0}; ///< Ended or given up without an answer.

    void run(const std::string& address, const std::string& target, int callers, int requests)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [=, this]
                {
                    const test_client client(address);
                    for (int number = 0; number < requests; ++number)
                        send(client, target, fmt::format("{}{}-{}", target, caller, number));
                });
        }
        for (auto& thread : threads)
            thread.join();
    }

    /// Sends requests until `end`.
    void run_until(
        const std::string& address, const std::string& target, int callers, steady::time_point end)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [=, this]
                {
                    const test_client client(address);
                    for (int number = 0; steady::now() < end; ++number)
                        send(client, target, fmt::format("{}{}-{}", target, caller, number));
                });
        }
        for (auto& thread : threads)
            thread.join();
    }

private:
    void send(const test_client& client, const std::string& target, const std::string& id)
    {
        auto request = router_system::make_request("POST", target, id);
        request.m_fields[1].m_value = std::to_string(m_time_limit.count());
        const auto begin = steady::now();
        ++m_sent;
        const auto response = client.send(request, m_time_limit + give_up_after);
        const auto after = steady::now() - begin;
        m_late += after > m_time_limit + late_after ? 1 : 0;
        m_unanswered += response.ok() ? 0 : 1;
    }
};

} // namespace

TEST_CASE("an answer without end ends at the time limit of its request")
{
    // Guards against a request that is not answered because its endpoint never stops to send.
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    std::string begin = "\r\n";
    std::string repeated = "x";
    SUBCASE("without a length") {}
    SUBCASE("with a huge length")
    {
        begin = "Content-Length: 99999999999\r\n\r\n";
    }
    SUBCASE("in chunks")
    {
        begin = chunked;
        repeated = "5\r\nabcde\r\n";
    }
    scripted_endpoint faulty([&](const std::string& call, int)
                             { return endless_answer(answer_head(call) + begin, repeated); });
    scripted_endpoint sound([](const std::string& call, int) { return whole_answer(call); });
    router_system system(0, 0);
    system.add_endpoint("faulty", faulty, std::nullopt);
    system.add_endpoint("sound", sound, std::nullopt);
    system.start_router("router-1");
    for (const std::string target : {"/orders/1", "/look/1"})
    {
        CAPTURE(target);
        caller_load load{800ms};
        load.run(system.address("router-1"), target, 30, 3);
        CHECK(load.m_unanswered.load() == 0);
        CHECK(load.m_late.load() * 2 < load.m_sent.load());
    }
}

TEST_CASE("answers without end leave time for the calls of others")
{
    // Guards against a router that is kept busy by an event that never ends.
    const std::string close = "Connection: close\r\n\r\n";
    const auto script = [&](const std::string& call, int)
    { return endless_answer(answer_head(call) + close, "x"); };
    // Each takes eight streams at once.
    constexpr int stream_callers = 40;
    std::vector<std::unique_ptr<scripted_endpoint>> faulty_models;
    scripted_endpoint faulty(script);
    scripted_endpoint sound([](const std::string& call, int) { return whole_answer(call); });
    router_system system(0, 0);
    for (int i = 0; i < stream_callers / 8; ++i)
    {
        faulty_models.push_back(std::make_unique<scripted_endpoint>(script));
        system.add_endpoint(
            fmt::format("faulty-model-{}", i), *faulty_models.back(), layer_range{0, 12});
    }
    system.add_endpoint("faulty", faulty, std::nullopt);
    system.add_endpoint("sound", sound, std::nullopt);
    system.start_router("router-1");
    caller_load streams{3s};
    caller_load calls{800ms};
    std::thread running_streams(
        [&] { streams.run(system.address("router-1"), "/chat/1", stream_callers, 4); });
    calls.run(system.address("router-1"), "/look/1", 30, 5);
    running_streams.join();
    CHECK(calls.m_unanswered.load() == 0);
    CHECK(calls.m_late.load() == 0);
}

TEST_CASE("answers without end at one of several endpoints of a slow instance")
{
    // Guards against calls without an answer while a router reads many answers without end.
    std::string begin = "Connection: close\r\n\r\n";
    std::string repeated = "x";
    SUBCASE("without a length") {}
    SUBCASE("with a huge length")
    {
        begin = "Content-Length: 99999999999\r\n\r\n";
    }
    SUBCASE("in chunks")
    {
        begin = "Transfer-Encoding: chunked\r\n\r\n";
        repeated = "5\r\nabcde\r\n";
    }
    const auto endless = [&](const std::string& call, int)
    { return endless_answer(answer_head(call) + begin, repeated); };
    const auto sound = [](scripted_endpoint::reply whole)
    {
        whole.m_rest = whole.m_bytes.substr(1);
        whole.m_bytes.resize(1);
        whole.m_pause = 90ms;
        return whole;
    };
    const auto sound_call = [&](const std::string& call, int) { return sound(whole_answer(call)); };
    const auto sound_stream = [&](const std::string& call, int)
    { return sound(whole_stream(call)); };
    scripted_endpoint faulty(endless);
    scripted_endpoint faulty_model(endless);
    std::vector<std::unique_ptr<scripted_endpoint>> sound_ones;
    router_system system(0, 0);
    system.add_endpoint("faulty", faulty, std::nullopt);
    system.add_endpoint("faulty-model", faulty_model, layer_range{0, 12});
    for (int i = 0; i < 2; ++i)
    {
        sound_ones.push_back(std::make_unique<scripted_endpoint>(sound_call));
        system.add_endpoint(fmt::format("sound-{}", i), *sound_ones.back(), std::nullopt);
    }
    for (int i = 0; i < 3; ++i)
    {
        sound_ones.push_back(std::make_unique<scripted_endpoint>(sound_stream));
        system.add_endpoint(
            fmt::format("sound-model-{}", i), *sound_ones.back(), layer_range{0, 12});
    }
    system.start_router("router-1");
    caller_load streams{3s};
    caller_load calls{800ms};
    const auto end = steady::now() + 6s;
    // The process runs for a part of the time only, as one with a limit on its processor time.
    std::thread throttling(
        [&]
        {
            while (steady::now() < end)
            {
                system.process("router-1").kill(SIGSTOP);
                std::this_thread::sleep_for(85ms);
                system.process("router-1").kill(SIGCONT);
                std::this_thread::sleep_for(15ms);
            }
        });
    std::thread running_streams(
        [&] { streams.run_until(system.address("router-1"), "/chat/1", 30, end); });
    calls.run_until(system.address("router-1"), "/look/1", 30, end);
    running_streams.join();
    throttling.join();
    CHECK(calls.m_unanswered.load() == 0);
    CHECK(calls.m_late.load() == 0);
    CHECK(streams.m_unanswered.load() == 0);
}

TEST_CASE("answers without end leave memory for the answers of other callers")
{
    // Guards against a router that runs out of memory, each answer within its limit.
    const std::string close = "Connection: close\r\n\r\n";
    std::string target = "/orders/1";
    std::optional<layer_range> layers;
    std::function<scripted_endpoint::reply(const std::string&)> answer;
    SUBCASE("of other requests")
    {
        answer = [&](const std::string&)
        { return large_endless_answer(answer_head("another") + close, "x"); };
    }
    SUBCASE("of this request")
    {
        answer = [&](const std::string& call)
        { return large_endless_answer(answer_head(call) + close, "x"); };
    }
    SUBCASE("with an error")
    {
        answer = [&](const std::string& call)
        { return large_endless_answer(answer_head(call, "500 Oops") + close, "x"); };
    }
    SUBCASE("with comments in a stream")
    {
        layers = layer_range{0, 12};
        target = "/chat/1";
        answer = [&](const std::string& call)
        { return large_endless_answer(answer_head(call) + close, ": comment\n"); };
    }
    scripted_endpoint faulty([&](const std::string& call, int) { return answer(call); });
    scripted_endpoint sound_model([](const std::string& call, int) { return whole_stream(call); });
    router_system system(0, 0);
    system.add_endpoint("faulty", faulty, layers);
    system.add_endpoint("sound-model", sound_model, layer_range{0, 12});
    system.start_router("router-1");
    caller_load load{8s};
    load.run(system.address("router-1"), target, 120, 2);
    CHECK(load.m_unanswered.load() == 0);
    REQUIRE(system.process("router-1").running());
    const auto peak_memory_kb = system.process("router-1").memory_kilobytes("VmHWM");
    CHECK(peak_memory_kb > 0);
    CHECK(peak_memory_kb < instance_memory_kb);
}

TEST_SUITE_END();
