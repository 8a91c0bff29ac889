#include "process/key_hashing.hpp"
#include "process/scripted_endpoint.hpp"
#include "process/test_requests.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

namespace
{

/// One entry, and side processes that share a worker whose answers a test chooses. The worker sees
/// the request id of the caller as the id of the call.
class scripted_worker_system : public test_system
{
public:
    scripted_worker_system(
        scripted_endpoint::script answer, std::size_t side_count, const std::string& entry_settings,
        const std::string& side_settings)
        : m_worker(
              [answer = std::move(answer)](const std::string& call, int earlier)
              {
                  // Health probes carry no id.
                  if (call.empty())
                      return scripted_endpoint::reply{
                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false};
                  return answer(call, earlier);
              })
    {
        for (std::size_t i = 1; i <= side_count; ++i)
            add_side(fmt::format("side-{}", i), side_settings);
        add_entry("entry", "domain-1", entry_settings);
        REQUIRE(apply("entry", configuration()) == 0);
        REQUIRE(wait_ready("entry").ok());
        REQUIRE(wait_live(*this, "entry", side_count));
    }

    const scripted_endpoint& worker() const { return m_worker; }
    child_process& side(std::size_t number) { return *m_sides.at(number - 1); }

    absl::StatusOr<http_response> send(const std::string& method, const std::string& id) const
    {
        http_request request = make_order("shop", id);
        request.m_method = method;
        if (method == "GET")
            request.m_body.clear();
        request.m_fields.push_back({"X-Request-Id", id});
        return client("entry").send(request, 20s);
    }

    std::future<absl::StatusOr<http_response>>
    send_async(const std::string& method, const std::string& id) const
    {
        return std::async(std::launch::async, [this, method, id] { return send(method, id); });
    }

private:
    void add_side(const std::string& name, const std::string& settings)
    {
        m_ports.push_back(std::make_unique<reserved_port>());
        const auto listen = m_ports.back()->address();
        const auto path = m_files.file(name + ".yaml");
        std::ofstream(path) << fmt::format(
            "name: {}\npeer_listen: {}\nregion: region-1\nfailure_domain: domain-1\n"
            "platform: {}\nworker: {}\nservice: orders\n{}",
            name, listen, address("platform"), m_worker.address(), settings);
        m_sides.push_back(std::make_unique<child_process>(
            FULMARYARD_BINARY, std::vector<std::string>{"side", "--settings", path},
            m_files.file(name)));
        REQUIRE(m_sides.back()->wait_for_http(listen, 20s).ok());
        const boost::json::object instance{
            {"name", name},
            {"role", "side"},
            {"peer_address", listen},
            {"region", "region-1"},
            {"failure_domain", "domain-1"},
            {"leaving", false}};
        const auto registered =
            client("platform").post("/instances", boost::json::serialize(instance));
        REQUIRE(registered.ok());
        REQUIRE(registered->m_status == 200);
    }

    static std::string configuration()
    {
        return fmt::format(
            "tenant: kitwerk\nservices:\n"
            "  - {{name: orders, paths: [/orders], methods: [GET, POST], "
            "idempotent_methods: [GET], deadline_ms: 15000}}\n"
            "accounts:\n"
            "  - {{name: shop, key_hashes: [\"{}\"], requests_per_second: 1000, "
            "tokens_per_second: 1000000, max_streams: 1000, weight: 1}}\n"
            "rules:\n  - {{accounts: [shop], models: [], services: [orders], priority: 0}}\n",
            make_key_hash("shop-secret"));
    }

    temporary_directory m_files;
    scripted_endpoint m_worker;
    std::vector<std::unique_ptr<reserved_port>> m_ports;
    std::vector<std::unique_ptr<child_process>> m_sides;
};

std::string outcome_in(const http_response& response)
{
    return std::string(find_field(response.m_fields, "X-Fulmaryard-Outcome").value_or(""));
}

std::string success_of(const std::string& call)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", call.size(), call);
}

} // namespace

TEST_SUITE_BEGIN("reported_faults_entry");

TEST_CASE("a planned stop while a worker does not answer")
{
    // Guards against calls that are passed on and then cut without an answer, and against the
    // refusal of a call that has reached the worker.
    const auto silent = [](const std::string&, int) -> scripted_endpoint::reply {
        return {"", false};
    };

    SUBCASE("of the entry")
    {
        scripted_worker_system system(silent, 2, "drain_limit_ms: 4000\n", "");
        std::map<std::string, std::future<absl::StatusOr<http_response>>> answers;
        answers["order-before"] = system.send_async("POST", "order-before");
        answers["look-before"] = system.send_async("GET", "look-before");
        REQUIRE(wait_until(5s, [&] { return system.worker().arrivals("order-before") > 0; }));
        REQUIRE(wait_until(5s, [&] { return system.worker().arrivals("look-before") > 0; }));
        system.terminate("entry");
        std::this_thread::sleep_for(1s);
        answers["order-early"] = system.send_async("POST", "order-early");
        answers["look-early"] = system.send_async("GET", "look-early");
        std::this_thread::sleep_for(1500ms);
        answers["order-late"] = system.send_async("POST", "order-late");
        answers["look-late"] = system.send_async("GET", "look-late");
        for (auto& entry : answers)
        {
            const std::string& id = entry.first;
            CAPTURE(id);
            const auto answer = entry.second.get();
            const bool arrived = system.worker().arrivals(id) > 0;
            CHECK(arrived != id.ends_with("late"));
            CHECK(answer.ok());
            if (!answer.ok())
                continue;
            CHECK(answer->m_status == (arrived ? 502 : 503));
            CHECK(outcome_in(*answer) == (arrived ? "unknown" : "not-run"));
            if (id.starts_with("order"))
                CHECK(system.worker().arrivals(id) <= 1);
        }
        const auto exit_code = system.process("entry").wait(5s);
        REQUIRE(exit_code.ok());
        CHECK(*exit_code == 1); // The drain limit passed with calls in flight.
    }

    SUBCASE("of a side process")
    {
        scripted_worker_system system(silent, 1, "", "drain_limit_ms: 2000\n");
        std::map<std::string, std::future<absl::StatusOr<http_response>>> answers;
        answers["order-before"] = system.send_async("POST", "order-before");
        answers["look-before"] = system.send_async("GET", "look-before");
        REQUIRE(wait_until(5s, [&] { return system.worker().arrivals("order-before") > 0; }));
        REQUIRE(wait_until(5s, [&] { return system.worker().arrivals("look-before") > 0; }));
        system.side(1).kill(SIGTERM);
        std::this_thread::sleep_for(500ms);
        answers["order-late"] = system.send_async("POST", "order-late");
        answers["look-late"] = system.send_async("GET", "look-late");
        for (auto& entry : answers)
        {
            const std::string& id = entry.first;
            CAPTURE(id);
            const auto answer = entry.second.get();
            const bool arrived = system.worker().arrivals(id) > 0;
            CHECK(arrived != id.ends_with("late"));
            REQUIRE(answer.ok());
            CHECK(answer->m_status == (arrived ? 502 : 503));
            CHECK(outcome_in(*answer) == (arrived ? "unknown" : "not-run"));
        }
    }
}

TEST_CASE("a worker that writes an earlier refusal again on a kept connection")
{
    // Guards against the refusal of a call that the worker ran, and against the answer of one call
    // that reaches the caller of another.
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    std::atomic<bool> refused{false};
    std::atomic<int> repetitions{0};
    std::atomic<int> runs{0};
    bool with_next_answer = false;
    std::string method;
    SUBCASE("together with the next answer")
    {
        with_next_answer = true;
        SUBCASE("to a call that may be repeated")
        {
            method = "GET";
        }
        SUBCASE("to a call that may run once")
        {
            method = "POST";
        }
    }
    SUBCASE("directly after the refusal")
    {
        SUBCASE("before calls that may be repeated")
        {
            method = "GET";
        }
        SUBCASE("before calls that may run once")
        {
            method = "POST";
        }
    }
    scripted_worker_system system(
        [&](const std::string& call, int earlier) -> scripted_endpoint::reply
        {
            if (!refused.exchange(true))
                return {with_next_answer ? refusal : refusal + refusal, false};
            ++runs;
            const bool repeats = with_next_answer && earlier > 0 && repetitions++ == 0;
            return {(repeats ? refusal : "") + success_of(call), false};
        },
        1, "", "");
    const auto first = system.send("GET", "refused");
    REQUIRE(first.ok());
    // Two refusals at once leave open which of them answers the call, so it may be sent again.
    CHECK((first->m_status == 503 || (!with_next_answer && first->m_body == "refused")));
    CHECK((first->m_status == 503) == (runs == 0));
    for (const std::string id : {"next-1", "next-2", "next-3"})
    {
        CAPTURE(id);
        const auto next = system.send(method, id);
        REQUIRE(next.ok());
        CHECK(system.worker().arrivals(id) >= 1);
        CHECK(next->m_status == 200);
        CHECK(next->m_body == id);
        if (method == "POST")
            CHECK(system.worker().arrivals(id) == 1);
    }
    if (with_next_answer && method == "GET")
        CHECK(repetitions > 0);
}

TEST_CASE("a worker that writes an earlier answer again on a kept connection")
{
    // Guards against the answer of one call that reaches the caller of another.
    std::string previous;
    scripted_worker_system system(
        [&](const std::string& call, int earlier) -> scripted_endpoint::reply
        {
            const auto repeated = earlier > 0 && call == "second" ? success_of(previous) : "";
            previous = call;
            return {repeated + success_of(call), false};
        },
        1, "", "");
    for (const std::string id : {"first", "second", "third"})
    {
        CAPTURE(id);
        const auto answer = system.send("GET", id);
        REQUIRE(answer.ok());
        CHECK(answer->m_status == 200);
        CHECK(answer->m_body == id);
    }
}

TEST_CASE("a worker that closes its connection in the middle of an answer")
{
    // Guards against a success with an empty or short body that is framed as complete.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    std::string bytes;
    SUBCASE("in the status line")
    {
        bytes = "HTTP/1.1 200 O";
    }
    SUBCASE("after the status line")
    {
        bytes = "HTTP/1.1 200 OK\r\n";
    }
    SUBCASE("in a field of the head")
    {
        bytes = head + "Content-Le";
    }
    SUBCASE("after a field of the head")
    {
        bytes = head + "Content-Length: 4\r\n";
    }
    SUBCASE("before the body")
    {
        bytes = head + "Content-Length: 4\r\n\r\n";
    }
    SUBCASE("in the body")
    {
        bytes = head + "Content-Length: 4\r\n\r\ndo";
    }
    SUBCASE("in a chunk")
    {
        bytes = head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndo";
    }
    SUBCASE("between chunks")
    {
        bytes = head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
    }
    scripted_worker_system system(
        [&](const std::string&, int) -> scripted_endpoint::reply {
            return {bytes, true};
        },
        1, "", "");
    for (const std::string method : {"POST", "GET"})
    {
        CAPTURE(method);
        const auto answer = system.send(method, "call-" + method);
        CHECK(system.worker().arrivals("call-" + method) >= 1);
        REQUIRE(answer.ok());
        CHECK(answer->m_status == 502);
        CHECK(outcome_in(*answer) == "unknown");
        if (method == "POST")
            CHECK(system.worker().arrivals("call-POST") == 1);
    }
}

TEST_CASE("a worker whose answers are invalid")
{
    // Guards against an answer that is passed on although it is not a valid HTTP response.
    struct invalid_head
    {
        std::string m_bytes;
        std::string m_reason; ///< Why the answer is rejected, as logged.
    };
    const std::string ok_line = "HTTP/1.1 200 OK\r\n";
    const std::vector<invalid_head> heads{
        {"garbage\r\n", "bad version"},
        {"HTTP/1.1 000 OK\r\n", "bad status"},
        {"HTTP/1.1 099 OK\r\n", "bad status"},
        {"HTTP/1.1 600 Oops\r\n", "bad status"},
        {"HTTP/1.1 999 Oops\r\n", "bad status"},
        {ok_line + "Content-Type: text/plain\r\n folded\r\n", "bad obs-fold"},
        {ok_line + "Content-Type:\r\n\ttext/plain\r\n", "bad obs-fold"},
        {ok_line + "X Y: value\r\n", "bad field"},
        {ok_line + "X\x01: value\r\n", "bad field"},
        {ok_line + "Content-Length : 2\r\n", "bad field"}};
    const std::vector<std::string> rests{
        "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        "\r\ndone", "\r\n"};
    std::string bytes;
    scripted_worker_system system(
        [&](const std::string&, int) -> scripted_endpoint::reply {
            return {bytes, true};
        },
        1, "", "");
    int call_count = 0;
    for (const auto& head : heads)
    {
        for (const auto& rest : rests)
        {
            bytes = head.m_bytes + rest;
            CAPTURE(bytes);
            for (const std::string method : {"POST", "GET"})
            {
                const auto id = fmt::format("call-{}", ++call_count);
                const auto answer = system.send(method, id);
                CHECK(system.worker().arrivals(id) >= 1);
                REQUIRE(answer.ok());
                CHECK(answer->m_status == 502);
                CHECK(outcome_in(*answer) == "unknown");
                if (method == "POST")
                    CHECK(system.worker().arrivals(id) == 1);
                const auto logged = fmt::format(
                    "event=worker_call_failed process=side-1 request={} reason=\"{}\"", id,
                    head.m_reason);
                CHECK(system.side(1).errors().find(logged) != std::string::npos);
            }
        }
    }
}

TEST_SUITE_END();
