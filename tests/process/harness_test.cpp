#include "process/key_hashing.hpp"
#include "process/test_system.hpp"
#include "standins/hash_chain.hpp"
#include "standins/reference_model.hpp"
#include "standins/standin_support.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket/stream.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <thread>
#include <tuple>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using fulmaryard::standins::number_of;
using fulmaryard::standins::text_of;
namespace beast = boost::beast;
namespace json = boost::json;

namespace
{

// Blocking WebSocket connection to an engine stand-in. It has no timeout of its own: a test that
// blocks on it is ended by the CTest timeout.
class engine_link
{
public:
    explicit engine_link(const std::string& address) : m_stream(m_io)
    {
        beast::get_lowest_layer(m_stream).connect(*parse_address(address));
        m_stream.handshake(address, "/v1/stream");
    }

    void send(const json::object& message)
    {
        m_stream.write(boost::asio::buffer(json::serialize(message)));
    }

    json::object receive()
    {
        beast::flat_buffer buffer;
        m_stream.read(buffer);
        return json::parse(beast::buffers_to_string(buffer.data())).as_object();
    }

    json::object call(const json::object& message)
    {
        send(message);
        return receive();
    }

private:
    boost::asio::io_context m_io;
    beast::websocket::stream<beast::tcp_stream> m_stream;
};

json::object stage_0_run(std::uint64_t first, const char* prompt, json::array tokens)
{
    json::object run{{"op", "run"},    {"run", 1},         {"stream", "5a"}, {"session", 1},
                     {"first", first}, {"tokens", tokens}, {"sample", false}};
    if (prompt != nullptr)
        run["prompt"] = prompt;
    return run;
}

http_request put(const std::string& name, const std::string& value, const std::string& version)
{
    return {"PUT", "/objects/" + name, {{"If-Match", version}}, value};
}

unsigned status_of(const absl::StatusOr<http_response>& response)
{
    return response.ok() ? response->m_status : 0;
}

} // namespace

TEST_SUITE_BEGIN("harness");

TEST_CASE("the platform stand-in keeps objects by version")
{
    // Guards against a stand-in that hides lost or reverted updates from other tests.
    test_system system;
    const test_client platform = system.client("platform");

    GIVEN("a created object")
    {
        CHECK(status_of(platform.get("/objects/a")) == 404);
        REQUIRE(status_of(platform.send(put("a", "one", "0"))) == 200);

        THEN("an update from an old version is refused and changes nothing")
        {
            CHECK(status_of(platform.send(put("a", "two", "0"))) == 412);
            const json::value read = platform.get_json("/objects/a");
            CHECK(text_of(read.as_object(), "value") == "one");
            CHECK(number_of(read.as_object(), "version", 0) == 1);
        }
        THEN("a watch of the current version ends at its time limit with that version")
        {
            const json::value read = platform.get_json("/objects/a?watch=1&timeout_ms=50");
            CHECK(number_of(read.as_object(), "version", 0) == 1);
        }
        THEN("a prefix lists it")
        {
            REQUIRE(status_of(platform.send(put("b/c", "x", "0"))) == 200);
            CHECK(
                json::serialize(platform.get_json("/objects?prefix=b/")) == R"({"names":["b/c"]})");
        }
        WHEN("the answer of a write is lost")
        {
            system.inject("platform", R"({"kind": "lose_answer", "match": "/objects/a"})");
            const auto lost = platform.send(put("a", "two", "1"));
            THEN("the client sees a failure and the write has taken effect, once")
            {
                CHECK_FALSE(lost.ok());
                CHECK(number_of(platform.get_json("/objects/a").as_object(), "version", 0) == 2);
                CHECK(status_of(platform.send(put("a", "three", "2"))) == 200);
            }
        }
        WHEN("reads are stale")
        {
            REQUIRE(status_of(platform.send(put("a", "two", "1"))) == 200);
            system.inject("platform", R"({"kind": "stale_reads", "count": 1})");
            THEN("one read returns the previous version")
            {
                CHECK(number_of(platform.get_json("/objects/a").as_object(), "version", 0) == 1);
                CHECK(number_of(platform.get_json("/objects/a").as_object(), "version", 0) == 2);
            }
        }
        WHEN("there is an outage")
        {
            system.inject("platform", R"({"kind": "outage"})");
            CHECK(status_of(platform.send(put("a", "two", "1"))) == 503);
            system.clear_faults("platform");
            THEN("the refused write had no effect")
            {
                CHECK(number_of(platform.get_json("/objects/a").as_object(), "version", 0) == 1);
            }
        }
        WHEN("its process is stopped")
        {
            system.pause("platform");
            CHECK_FALSE(platform.get("/objects/a", std::chrono::milliseconds(100)).ok());
            system.resume("platform");
            THEN("it answers again afterwards")
            {
                CHECK(status_of(platform.get("/objects/a")) == 200);
            }
        }
    }
}

TEST_CASE("a silent platform keeps its open connections and answers new ones")
{
    test_system system;
    boost::asio::io_context io;
    http_client kept(io.get_executor(), system.address("platform"));
    const auto send_on_kept_connection = [&]
    {
        std::optional<absl::StatusOr<http_response>> result;
        boost::asio::co_spawn(
            io, kept.send({"GET", "/instances", {}, {}}, std::chrono::milliseconds(200)),
            [&result](const std::exception_ptr&, absl::StatusOr<http_response> response)
            { result = std::move(response); });
        io.restart();
        // The client keeps its idle connection open, so run() might not return: stop at the result.
        while (!result && io.run_one() > 0)
        {
        }
        return std::move(result).value();
    };
    REQUIRE(status_of(send_on_kept_connection()) == 200);
    system.inject("platform", R"({"kind": "silent"})");
    const auto silent = send_on_kept_connection();
    REQUIRE_FALSE(silent.ok());
    CHECK(kind_of(silent.status()) == failure_kind::deadline_exceeded);
    CHECK(status_of(system.client("platform").get("/instances")) == 200);
}

TEST_CASE("the test client reconnects with the last event id")
{
    // Guards against a test client that loses or repeats events when an entry fails.
    boost::asio::io_context io(1);
    std::vector<std::string> last_ids;
    const auto answer = [&last_ids](http_exchange& exchange) -> boost::asio::awaitable<void>
    {
        const auto id = find_field(exchange.request().m_fields, "Last-Event-ID");
        last_ids.emplace_back(id.value_or(""));
        std::ignore = co_await exchange.begin_event_stream({});
        if (last_ids.size() == 1)
        {
            std::ignore = co_await exchange.send_chunk(
                "id: s.0\ndata: {\"choices\":[{\"delta\":{\"content\":\" w1\"}}]}\n\nid: s.");
            exchange.abort_connection();
            co_return;
        }
        std::ignore = co_await exchange.send_chunk(
            ": comment\n\nid: s.1\ndata: {\"choices\":[{\"delta\":{\"content\":\" w2\"}}]}\n\n");
        std::ignore = co_await exchange.send_chunk("data: [DONE]\n\n");
        std::ignore = co_await exchange.send_last_chunk();
    };
    http_server server(io, {}, answer);
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port.ok());
    std::thread serving([&io] { io.run(); });
    const std::string address = "127.0.0.1:" + std::to_string(*port);
    const http_request request{"POST", "/v1/chat/completions", {}, "{}"};
    const auto result = test_client::complete({address}, request, 1);
    io.stop();
    serving.join();
    REQUIRE(result.ok());
    CHECK(result->m_done);
    CHECK(result->m_reconnections == 1);
    CHECK(result->m_text == " w1 w2");
    CHECK(result->m_events.size() == 2);
    CHECK(last_ids == std::vector<std::string>{"", "s.0"});
}

TEST_CASE("the platform stand-in limits rates and counts calls")
{
    test_system system({"--writes-per-second", "2", "--reads-per-second", "100"});
    const test_client platform = system.client("platform");
    CHECK(status_of(platform.send(put("a", "x", "0"))) == 200);
    CHECK(status_of(platform.send(put("b", "x", "0"))) == 200);
    CHECK(status_of(platform.send(put("c", "x", "0"))) == 429);
    const json::value calls = platform.get_json("/calls");
    CHECK(number_of(calls.as_object(), "writes", 0) == 2);
    CHECK(number_of(calls.as_object(), "rejected", 0) == 1);
}

TEST_CASE("the platform stand-in lists instances after the lag")
{
    test_system system({"--instance-lag-ms", "200"});
    const test_client platform = system.client("platform");
    REQUIRE(status_of(platform.post("/instances", R"({"name": "side-1", "role": "side"})")) == 200);
    CHECK(number_of(platform.get_json("/instances").as_object(), "version", 9) == 0);
    const json::value later = platform.get_json("/instances?watch=0&timeout_ms=5000");
    CHECK(number_of(later.as_object(), "version", 0) == 1);
    REQUIRE(later.at("instances").as_array().size() == 1);
    CHECK(text_of(later.at("instances").as_array()[0].as_object(), "name") == "side-1");
}

TEST_CASE("engine stand-ins together give the reference answer")
{
    // Guards against an engine protocol in which engines that each run a range of layers lose or
    // reorder the results of the whole model.
    test_system system;
    system.add_engine("first", {0, 3}, 8);
    system.add_engine("second", {3, 8}, 8);
    engine_link first(system.address("first"));
    engine_link second(system.address("second"));
    const std::string prompt = "book two seats";
    json::object run = stage_0_run(0, prompt.c_str(), {});
    std::uint64_t next = 0;
    std::string text;
    for (int token = 0; token < 5; ++token)
    {
        const json::object ran = first.call(run);
        REQUIRE(text_of(ran, "op") == "ran");
        const json::array outputs = ran.at("outputs").as_array();
        const json::object sampled = second.call(
            {{"op", "run"},
             {"run", 2},
             {"stream", "5a"},
             {"session", 1},
             {"first", next},
             {"inputs", outputs},
             {"sample", true}});
        REQUIRE(text_of(sampled, "op") == "ran");
        text += text_of(sampled.at("sampled").as_object(), "text");
        next += outputs.size();
        run = stage_0_run(next, nullptr, {sampled.at("sampled").at("id")});
    }
    CHECK(text == standins::compute_reference(prompt, 8, 5).m_text);

    THEN("the journals show each position once and in order")
    {
        for (const char* engine : {"first", "second"})
        {
            const json::value journal = system.client(engine).get_json("/journal?stream=5a");
            const json::array& runs = journal.at("runs").as_array();
            REQUIRE(runs.size() == 7); // Three prompt words and the first four of five tokens.
            for (std::size_t position = 0; position < runs.size(); ++position)
                CHECK(number_of(runs[position].as_object(), "position", 99) == position);
        }
    }
    THEN("a run at a position other than the session's next fails")
    {
        CHECK(text_of(first.call(stage_0_run(3, nullptr, {1})), "op") == "failed");
        CHECK(text_of(first.call(stage_0_run(8, nullptr, {1})), "op") == "failed");
        CHECK(text_of(first.call(stage_0_run(7, nullptr, {1})), "op") == "ran");
    }
    THEN("a cancelled session has no state left")
    {
        first.send({{"op", "cancel"}, {"stream", "5a"}, {"session", 1}});
        CHECK(text_of(first.call(stage_0_run(7, nullptr, {1})), "op") == "failed");
        CHECK(
            number_of(system.client("first").get_json("/v1/info").as_object(), "kv_free", 0) ==
            1'000'000);
    }
    THEN("exported state continues in another engine")
    {
        system.add_engine("spare", {0, 3}, 8);
        engine_link spare(system.address("spare"));
        json::object state = first.call({{"op", "export"}, {"stream", "5a"}, {"session", 1}});
        state["op"] = "import";
        CHECK(spare.call(state).at("accepted").as_bool());
        CHECK(
            spare.call(stage_0_run(7, nullptr, {1})).at("outputs") ==
            first.call(stage_0_run(7, nullptr, {1})).at("outputs"));
    }
    THEN("an injected failure refuses a run and leaves the state as it was")
    {
        system.inject("first", R"({"kind": "fail_runs", "count": 1})");
        CHECK(text_of(first.call(stage_0_run(7, nullptr, {1})), "op") == "failed");
        CHECK(text_of(first.call(stage_0_run(7, nullptr, {1})), "op") == "ran");
    }
}

TEST_CASE("engine stand-ins honour or ignore fencing numbers")
{
    test_system system;
    system.add_engine("fenced", {0, 8}, 8);
    system.add_engine("unfenced", {0, 8}, 8, {"--ignore-fencing"});
    for (const char* name : {"fenced", "unfenced"})
    {
        engine_link link(system.address(name));
        const auto order = [&link](std::uint64_t epoch)
        {
            const json::object answer = link.call(
                {{"op", "order"},
                 {"epoch", epoch},
                 {"kind", "set_role"},
                 {"args", {{"role", "prefill"}}}});
            return answer.at("accepted").as_bool();
        };
        CHECK(order(5));
        CHECK(order(4) == (std::string(name) == "unfenced"));
        CHECK(order(5));
    }
}

TEST_CASE("a silent engine keeps its open connections and answers new ones")
{
    test_system system;
    system.add_engine("engine", {0, 8}, 8);
    engine_link before(system.address("engine"));
    CHECK(text_of(before.call(stage_0_run(0, "one", {})), "op") == "ran");
    system.inject("engine", R"({"kind": "silent"})");
    before.send(stage_0_run(1, nullptr, {1}));
    engine_link after(system.address("engine"));
    CHECK(text_of(after.call(stage_0_run(1, nullptr, {1})), "op") == "ran");
    // The run that was sent on the silent connection was not read.
    CHECK(system.client("engine").get_json("/journal").at("runs").as_array().size() == 2);
}

TEST_CASE("engine steps take the step time and the prefill time, and batch the waiting runs")
{
    test_system system;
    system.add_engine(
        "engine", {0, 8}, 8,
        {"--step-time-us", "50000", "--prefill-position-us", "10000", "--batch-limit", "2"});
    engine_link link(system.address("engine"));
    const auto begin = std::chrono::steady_clock::now();
    // The first run takes one step alone; the other three take two more steps at a batch limit
    // of 2.
    for (std::uint64_t session = 1; session <= 4; ++session)
    {
        json::object run = stage_0_run(0, session == 1 ? "five words make one prefill" : "one", {});
        run["session"] = session;
        link.send(run);
    }
    for (int answers = 0; answers < 4; ++answers)
        CHECK(text_of(link.receive(), "op") == "ran");
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    // In ms: 50 + 4 * 10 for the first step and 50 for each of the others, less 1 for rounding.
    CHECK(elapsed >= std::chrono::milliseconds(189));
    CHECK(number_of(system.client("engine").get_json("/v1/info").as_object(), "steps", 0) == 3);
}

TEST_CASE("the worker stand-in shows which calls took effect")
{
    // Guards against a worker stand-in that hides a call that ran twice.
    test_system system;
    system.add_worker("worker");
    const test_client worker = system.client("worker");
    const std::vector<http_field> key{{"Idempotency-Key", "k1"}};
    const auto effects = [&worker]
    { return worker.get_json("/orders").at("orders").as_array().size(); };

    WHEN("the same order is sent twice")
    {
        CHECK(status_of(worker.post("/orders", "{}", key)) == 201);
        CHECK(status_of(worker.post("/orders", "{}", key)) == 201);
        THEN("both have an effect")
        {
            CHECK(effects() == 2);
        }
    }
    WHEN("it fails before the effect")
    {
        system.inject("worker", R"({"kind": "fail", "count": 1, "match": "/orders"})");
        CHECK(status_of(worker.post("/orders", "{}", key)) == 500);
        THEN("there is none, and the journal has the call")
        {
            CHECK(effects() == 0);
            const json::value journal = worker.get_json("/journal");
            CHECK(
                text_of(journal.at("calls").as_array()[0].as_object(), "idempotency_key") == "k1");
        }
    }
    WHEN("the connection closes after the effect")
    {
        system.inject("worker", R"({"kind": "close", "count": 1, "match": "/orders"})");
        CHECK_FALSE(worker.post("/orders", "{}", key).ok());
        THEN("there is one")
        {
            CHECK(effects() == 1);
        }
    }
}

TEST_CASE("a relay cuts and restores the connection to a process")
{
    test_system system;
    system.add_worker("worker");
    system.add_relay("relay", "worker");
    const test_client relayed = system.client("relay");
    CHECK(status_of(relayed.get("/orders")) == 200);
    system.inject("relay", R"({"kind": "cut"})");
    CHECK_FALSE(relayed.get("/orders", std::chrono::milliseconds(500)).ok());
    CHECK(status_of(system.client("worker").get("/orders")) == 200);
    system.clear_faults("relay");
    CHECK(status_of(relayed.get("/orders")) == 200);
}

TEST_CASE("processes keep their address when they are killed and restarted")
{
    test_system system;
    system.add_worker("worker");
    const test_client worker = system.client("worker");
    REQUIRE(status_of(worker.post("/orders", "{}")) == 201);
    system.kill("worker");
    const auto refused = worker.get("/orders");
    REQUIRE_FALSE(refused.ok());
    CHECK(kind_of(refused.status()) == failure_kind::endpoint_lost);
    system.restart("worker");
    CHECK(worker.get_json("/orders").at("orders").as_array().empty());
    system.terminate("worker");
    const auto code = system.process("worker").wait(std::chrono::seconds(5));
    REQUIRE(code.ok());
    CHECK(*code == 0);
}

TEST_CASE("a key hash is the digest of salt and secret")
{
    // Expected digest: sha256sum over the hexadecimal text of the salt followed by the secret.
    CHECK(
        make_key_hash("secret", "00112233445566778899aabbccddeeff") ==
        "sha256:00112233445566778899aabbccddeeff:"
        "a646118b31dc9839381df254dd210eedac8fb69a7207c3946ed58a9d8d0320a0");
}

TEST_SUITE_END();
