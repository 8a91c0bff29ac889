#include "process/router_system.hpp"

#include <atomic>
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

std::string answer_head(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n",
        call);
}

scripted_endpoint::reply whole_answer(const std::string& call)
{
    return {answer_head(call) + "Content-Length: 4\r\n\r\ndone", false};
}

/// An answer that begins with `begin` and goes on with `repeated` until the router closes.
scripted_endpoint::reply endless_answer(const std::string& begin, const std::string& repeated)
{
    return {begin, true, 0ms, "", repeated};
}

/// What callers see that send one request after another at the same time, each with a time limit.
struct caller_load
{
    std::chrono::milliseconds m_time_limit;
    std::atomic<int> m_sent{0};
    std::atomic<int> m_late{0};       ///< Not answered `late_after` after their time.
    std::atomic<int> m_unanswered{0}; ///< Given up without an answer.

    void run(const std::string& address, const std::string& target, int callers, int requests)
    {
        std::vector<std::thread> threads;
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
        m_unanswered += !response.ok() && after >= m_time_limit + give_up_after ? 1 : 0;
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

TEST_SUITE_END();
