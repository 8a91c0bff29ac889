#include "process/raw_connection.hpp"
#include "process/test_system.hpp"
#include "standins/reference_model.hpp"

#include <fulmaryard/peer_address.hpp>
#include <fulmaryard/peer_message.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket/stream.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <sys/resource.h>

#include <atomic>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_memory_growth_kib = 64 * 1024;

std::string repeated(std::string_view text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

http_request chat(const std::string& bearer, const std::string& content)
{
    return {
        "POST",
        "/v1/chat/completions",
        {{"Authorization", "Bearer " + bearer}, {"Content-Type", "application/json"}},
        fmt::format(
            R"({{"model":"standin-model","stream":true,"max_tokens":8,)"
            R"("messages":[{{"role":"user","content":"{}"}}]}})",
            content)};
}

// Returns a chat request body that is valid except for the additional member.
std::string chat_with_member(const std::string& member)
{
    return R"({"model": "standin-model", "messages": [{"role": "user", "content": "x"}], )" +
           member + "}";
}

// Two engines, a worker and one entry, with the accounts "shop" and "depot".
class small_system
{
public:
    small_system()
    {
        m_system.add_engine("engine-1", {0, 5}, 12);
        m_system.add_engine("engine-2", {5, 12}, 12);
        m_system.add_engine_side("side-1", "engine-1", "domain-1");
        m_system.add_engine_side("side-2", "engine-2", "domain-2");
        m_system.add_worker("worker");
        m_system.add_worker_side("side-3", "worker", "orders", "domain-3");
        m_system.add_entry("entry", "domain-1", "request_deadline_ms: 500\n");
        REQUIRE(
            m_system.apply("entry", m_system.make_configuration("kitwerk", {"shop", "depot"})) ==
            0);
        REQUIRE(m_system.wait_ready("entry").ok());
    }

    test_system& operator*() { return m_system; }
    test_system* operator->() { return &m_system; }

    // Returns false if the request is refused or the answer differs from the reference model.
    bool answers_correctly(const std::string& content) const
    {
        const auto answer = test_client::complete(
            {m_system.address("entry")}, chat(test_system::bearer("shop"), content));
        return answer.ok() &&
               answer->m_text ==
                   standins::compute_reference(test_system::chat_prompt(content), 12, 8).m_text;
    }

    // Checks that a refused request got a complete error object with the outcome "not-run".
    static void check_refused(const absl::StatusOr<http_response>& response, unsigned status)
    {
        REQUIRE(response.ok());
        CHECK(response->m_status == status);
        CHECK(find_field(response->m_fields, "X-Fulmaryard-Outcome").value_or("") == "not-run");
        const json::value body = json::parse(response->m_body);
        const json::object& error = body.at("error").as_object();
        for (const char* key : {"message", "type", "code", "request_id"})
            CHECK_MESSAGE(error.contains(key), key);
        CHECK(error.at("outcome").as_string() == "not-run");
    }

    static void check_refused(const std::string& answer, unsigned status)
    {
        INFO("answer: ", answer);
        CHECK(answer.rfind(fmt::format("HTTP/1.1 {} ", status), 0) == 0);
        CHECK(answer.find("X-Fulmaryard-Outcome: not-run\r\n") != std::string::npos);
        const auto body = answer.find("\r\n\r\n");
        REQUIRE(body != std::string::npos);
        json::error_code parse_error;
        const json::value parsed = json::parse(answer.substr(body + 4), parse_error);
        REQUIRE_FALSE(parse_error);
        CHECK(parsed.at("error").as_object().contains("request_id"));
    }

private:
    test_system m_system;
};

// Sends valid requests one after another on a thread until it is stopped.
class background_requests
{
public:
    explicit background_requests(const small_system& system)
        : m_thread(
              [this, &system]
              {
                  // Sends at least one request, even if the test case ends before this thread
                  // starts.
                  do
                  {
                      const auto number = m_sent.fetch_add(1);
                      if (!system.answers_correctly(fmt::format("kit number {}", number)))
                          m_failed.fetch_add(1);
                  } while (!m_stopping);
              })
    {
    }

    ~background_requests() { stop(); }

    void check_all_answered()
    {
        stop();
        CHECK(m_sent.load() > 0);
        CHECK(m_failed.load() == 0);
    }

private:
    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_sent{0};
    std::atomic<std::size_t> m_failed{0};
    std::thread m_thread;
};

// Blocking peer link that can send arbitrary bytes.
class raw_peer
{
public:
    explicit raw_peer(const std::string& address) : m_stream(m_io)
    {
        beast::get_lowest_layer(m_stream).connect(*parse_address(address));
        m_stream.handshake(address, "/");
        m_stream.binary(true);
    }

    void send(const std::string& bytes) { m_stream.write(asio::buffer(bytes)); }

    // Reads until the peer closes the link. Returns the number of messages, including its hello.
    std::size_t read_to_end()
    {
        beast::error_code error;
        std::size_t messages = 0;
        while (!error)
        {
            beast::flat_buffer buffer;
            m_stream.read(buffer, error);
            messages += error ? 0 : 1;
        }
        return messages;
    }

private:
    asio::io_context m_io;
    beast::websocket::stream<beast::tcp_stream> m_stream;
};

std::string greeting()
{
    hello from;
    from.m_process = "stranger";
    from.m_role = "entry";
    from.m_address = "127.0.0.1:1";
    return encode(from);
}

} // namespace

TEST_SUITE_BEGIN("bad_input");

TEST_CASE("a malformed request is refused as not run, and valid ones are answered before and after")
{
    // Guards against a malformed request that crashes or blocks the entry, runs despite being
    // refused, or is refused without an error type.
    small_system system;
    const std::string address = system->address("entry");
    const std::string good = test_system::bearer("shop");
    const auto runs = [&]
    { return system->client("engine-1").get_json("/journal").at("runs").as_array().size(); };
    REQUIRE(system.answers_correctly("first"));
    const std::size_t runs_before = runs();
    const std::size_t peak_before = system->process("entry").memory_kilobytes("VmHWM");
    const auto post = [&](const std::string& body, const std::string& bearer)
    {
        return system->client("entry").post(
            "/v1/chat/completions", body, {{"Authorization", "Bearer " + bearer}});
    };

    for (const std::string& body : std::vector<std::string>{
             "",
             "{",
             "null",
             "[]",
             "\"text\"",
             "{\"model\": ",
             "\xff\xfe",
             "{}",
             R"({"model": 1, "messages": []})",
             R"({"model": "standin-model"})",
             R"({"model": "standin-model", "messages": "text"})",
             R"({"model": "standin-model", "messages": [1]})",
             R"({"model": "standin-model", "messages": [{"role": "user", "content": 1}]})",
             R"({"model": "standin-model", "messages": [], "max_tokens": "8"})",
             R"({"model": "standin-model", "prompt": "x", "messages": [], "max_tokens": -1})",
             chat_with_member(R"("max_tokens": "8")"),
             chat_with_member(R"("max_tokens": -1)"),
             chat_with_member(R"("stream": "yes")"),
             repeated("[", 100'000),
             repeated("{\"a\":", 100'000)})
    {
        CAPTURE(body.substr(0, 100));
        small_system::check_refused(post(body, good), 400);
    }
    const std::string valid = chat(good, "x").m_body;
    small_system::check_refused(
        post(R"({"model": "other", "messages": [{"role": "user", "content": "x"}]})", good), 404);
    for (const std::string bearer :
         {"", "shop", "shop.", "shop.wrong", "nobody.shop-secret", "shop.depot-secret",
          "depot.shop-secret"})
    {
        CAPTURE(bearer);
        small_system::check_refused(post(valid, bearer), 401);
    }
    small_system::check_refused(system->client("entry").post("/v1/chat/completions", valid), 401);
    small_system::check_refused(system->client("entry").get("/v1/chat/completions"), 401);
    small_system::check_refused(
        system->client("entry").send(
            {"GET", "/v1/chat/completions", {{"Authorization", "Bearer " + good}}, {}}),
        405);
    small_system::check_refused(
        system->client("entry").send({"GET", "/none", {{"Authorization", "Bearer " + good}}, {}}),
        404);
    // A call that must run at most once requires an idempotency key.
    small_system::check_refused(
        system->client("entry").post("/orders", "{}", {{"Authorization", "Bearer " + good}}), 400);

    CHECK(runs() == runs_before);
    CHECK(system->client("worker").get_json("/orders").at("orders").as_array().empty());
    CHECK(system->process("entry").memory_kilobytes("VmHWM") < peak_before + max_memory_growth_kib);
    CHECK(system.answers_correctly("last"));
}

TEST_CASE("a connection that breaks the protocol is answered and closed")
{
    // Guards against connections that retain memory or block the process, and against an answer
    // that is sent for the wrong request.
    small_system system;
    background_requests background(system);
    const std::string address = system->address("entry");
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
    const std::string bearer = "Authorization: Bearer " + test_system::bearer("shop") + "\r\n";

    SUBCASE("oversized header")
    {
        raw_connection client(address);
        client.send(head + "X-Long: " + std::string(100'000, 'x') + "\r\n\r\n");
        small_system::check_refused(client.receive(), 431);
    }
    SUBCASE("oversized body, announced and in chunks")
    {
        raw_connection announced(address);
        announced.send(head + bearer + "Content-Length: 1099511627776\r\n\r\n");
        small_system::check_refused(announced.receive(), 413);

        raw_connection chunked(address);
        chunked.send(head + bearer + "Transfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
        for (int i = 0; i < 64 && chunked.send(chunk); ++i)
        {
        }
        small_system::check_refused(chunked.receive(), 413);
    }
    SUBCASE("body slower than the deadline")
    {
        raw_connection client(address);
        client.send(head + bearer + "Content-Length: 100\r\n\r\n{");
        const auto begin = std::chrono::steady_clock::now();
        small_system::check_refused(client.receive("}}"), 408);
        CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
    }
    SUBCASE("half-closed before the end of the body")
    {
        raw_connection client(address);
        client.send(head + bearer + "Content-Length: 100\r\n\r\n{");
        client.shutdown_send();
        small_system::check_refused(client.receive(), 400);
    }
    SUBCASE("garbage bytes")
    {
        for (const std::string& bytes : std::vector<std::string>{
                 std::string(10'000, '\0'), "\x16\x03\x01\x02\x01\x01\xfc\x03\x03garbage",
                 "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", head + "Content-Length: -1\r\n\r\n",
                 head + "No colon here\r\n\r\n"})
        {
            raw_connection client(address);
            client.send(bytes);
            client.shutdown_send();
            small_system::check_refused(client.receive(), 400);
        }
    }
    SUBCASE("pipelined requests are answered in order")
    {
        // The third request is malformed; its error must not replace the answer to an earlier one.
        const std::string models =
            "GET /v1/models HTTP/1.1\r\nHost: x\r\n" + bearer + "X-Request-Id: first\r\n\r\n";
        const std::string body = chat(test_system::bearer("shop"), "pipelined").m_body;
        const std::string completion =
            head + bearer + "X-Request-Id: second\r\nContent-Type: application/json\r\n" +
            fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
        raw_connection client(address);
        client.send(models + completion + "BROKEN\r\n\r\n");
        const std::string answer = client.receive();
        const auto first = answer.find("\"object\":\"list\"");
        const auto second = answer.find("data: [DONE]");
        const auto third = answer.find("HTTP/1.1 400 ");
        INFO("answer: ", answer);
        REQUIRE(third != std::string::npos);
        CHECK(first < second);
        CHECK(second < third);
        small_system::check_refused(answer.substr(third), 400);
    }
    background.check_all_answered();
}

TEST_CASE("thousands of idle connections leave the entry's memory bounded and its service intact")
{
    // Guards against a memory cost per idle connection that lets a few clients exhaust the entry.
    constexpr std::size_t connections = 3000;
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    REQUIRE(limit.rlim_cur > connections + 200);
    small_system system;
    REQUIRE(system.answers_correctly("first"));
    const std::size_t before = system->process("entry").memory_kilobytes("VmRSS");
    std::vector<raw_connection> idle;
    idle.reserve(connections);
    for (std::size_t i = 0; i < connections; ++i)
    {
        idle.emplace_back(system->address("entry"));
        // Every second connection sends an incomplete request, which is refused at its deadline.
        if (i % 2 == 0)
            idle.back().send("POST /v1/chat/completions HTTP/1.1\r\n");
    }
    for (int i = 0; i < 5; ++i)
        CHECK(system.answers_correctly(fmt::format("beside idle connections {}", i)));
    const std::size_t after = system->process("entry").memory_kilobytes("VmHWM");
    MESSAGE("memory per idle connection, in KiB: ", double(after - before) / connections);
    CHECK(after < before + max_memory_growth_kib);
    small_system::check_refused(idle.front().receive("}}"), 408);
}

TEST_CASE("a malformed peer message closes its link, and its memory use is bounded")
{
    // Guards against an unknown client on the peer port that crashes a process or makes it allocate
    // unbounded memory.
    small_system system;
    background_requests background(system);
    for (const std::string name : {"entry", "side-1", "side-3"})
    {
        CAPTURE(name);
        const std::string address = system->control(name);
        const std::size_t peak = system->process(name).memory_kilobytes("VmHWM");

        raw_connection garbage(address);
        garbage.send(std::string(10'000, '\xff'));
        garbage.shutdown_send();
        small_system::check_refused(garbage.receive(), 400);

        // A call before the hello: the process sends its own hello, closes the link and does not
        // run the call.
        service_call call;
        call.m_service = "orders";
        call.m_method = "POST";
        call.m_path = "/orders";
        raw_peer before_hello(address);
        before_hello.send(encode(call));
        CHECK(before_hello.read_to_end() == 1);

        const std::string whole = encode(call);
        for (std::size_t size = 0; size < whole.size(); size += 7)
        {
            raw_peer truncated(address);
            truncated.send(greeting());
            truncated.send(whole.substr(0, size));
            truncated.read_to_end();
        }

        // The length of the first string, 8 bytes that follow the byte order and the message
        // number, is set to 512 MiB.
        std::string huge = greeting();
        const auto length = huge.find("stranger") - 8;
        huge.replace(length, 8, std::string("\0\0\0\x20\0\0\0\0", 8));
        raw_peer oversized_length(address);
        oversized_length.send(huge);
        oversized_length.read_to_end();

        // A remote procedure call with deeply nested JSON.
        const auto nested = test_client(address).post("/rpc", repeated("[", 100'000));
        REQUIRE(nested.ok());
        CHECK(nested->m_body.find("error") != std::string::npos);
        for (const std::string body :
             {"", "{", "[]", "1", R"({"jsonrpc":"2.0","id":1,"method":"none"})"})
        {
            CAPTURE(body);
            CHECK(test_client(address).post("/rpc", body).ok());
        }
        CHECK(system->process(name).running());
        CHECK(system->process(name).memory_kilobytes("VmHWM") < peak + max_memory_growth_kib);
    }
    CHECK(system->client("worker").get_json("/orders").at("orders").as_array().empty());
    background.check_all_answered();
    // A request that ended with an exception would still count as in flight and block draining.
    system->terminate("entry");
    const auto code = system->process("entry").wait(std::chrono::seconds(10));
    REQUIRE(code.ok());
    CHECK(*code == 0);
}

TEST_CASE("the administration API refuses bad input and shows no secret")
{
    // Guards against another tenant's objects, secrets or key hashes that appear in responses,
    // dumps or logs.
    const std::string stranger_secret = "stranger-secret-value";
    small_system system;
    const test_client admin(system->control("entry"));
    const std::string good = fmt::format("Bearer operator.{}", test_system::m_administrator_secret);
    const auto get = [&](const std::string& target, const std::string& authorization) {
        return admin.send({"GET", target, {{"Authorization", authorization}}, {}});
    };
    std::string exposed_text;
    for (const std::string target :
         {"/admin/configuration", "/admin/history", "/admin/status", "/admin/dump", "/dump",
          "/metrics"})
    {
        CAPTURE(target);
        const auto response = get(target, good);
        REQUIRE(response.ok());
        CHECK(response->m_status == 200);
        exposed_text += response->m_body;
    }
    for (const std::string authorization :
         {"", "Bearer", "Bearer operator", "Bearer operator.stranger-secret-value",
          "Bearer stranger-secret-value", "Bearer shop.shop-secret"})
    {
        CAPTURE(authorization);
        small_system::check_refused(get("/admin/configuration", authorization), 401);
    }
    for (const std::string& body : std::vector<std::string>{
             "", "tenant: [", "tenant: kitwerk\nunknown: 1\n", repeated("[", 100'000),
             repeated("{a: ", 50'000), "tenant: 1\naccounts: 7\n", std::string(10'000, '\0')})
    {
        CAPTURE(body.substr(0, 60));
        const auto response = admin.post("/admin/apply", body, {{"Authorization", good}});
        small_system::check_refused(response, 400);
    }
    for (const std::string target :
         {"/admin/apply?generation=x", "/admin/apply?timeout_ms=-1", "/admin/apply?apply_id="})
    {
        CAPTURE(target);
        small_system::check_refused(
            admin.post(target, "tenant: kitwerk\n", {{"Authorization", good}}), 400);
    }
    const auto side_dump = system->client("side-1").get("/dump");
    REQUIRE(side_dump.ok());
    exposed_text += side_dump->m_body;
    for (const std::string name : {"entry", "side-1", "side-3"})
        exposed_text += system->process(name).errors();
    for (const std::string& secret : std::vector<std::string>{
             "sha256:", "shop-secret", "depot-secret", test_system::m_administrator_secret,
             stranger_secret})
    {
        CAPTURE(secret);
        CHECK(exposed_text.find(secret) == std::string::npos);
    }
    CHECK(system.answers_correctly("last"));
}

TEST_CASE("an administrator of one tenant neither sees nor changes another's")
{
    // Guards against tenants of one system that read or overwrite each other's configuration.
    test_system system;
    const std::string tenant_secret = "tenant-secret";
    system.add_entry("entry", "domain-1");
    REQUIRE(system.apply("entry", "tenant: kitwerk\n") == 0);
    REQUIRE(system.apply("entry", "tenant: kurek\n") == 0);
    // In the stand-alone settings the only administrator has access to all tenants, so a second
    // entry is configured with an administrator of a single tenant.
    system.add_single_tenant_entry("limited", "domain-2", "kitwerk", tenant_secret);
    REQUIRE(system.wait_ready("limited").ok());
    const test_client admin(system.control("limited"));
    const std::string authorization = "Bearer tenant-admin." + tenant_secret;
    const auto get = [&](const std::string& target) {
        return admin.send({"GET", target, {{"Authorization", authorization}}, {}});
    };

    small_system::check_refused(get("/admin/configuration?tenant=kurek"), 403);
    small_system::check_refused(get("/admin/history?tenant=kurek"), 403);
    small_system::check_refused(get("/admin/dump"), 403);
    small_system::check_refused(
        admin.post("/admin/apply", "tenant: kurek\n", {{"Authorization", authorization}}), 403);
    for (const std::string target : {"/admin/configuration", "/admin/history", "/admin/status"})
    {
        CAPTURE(target);
        const auto response = get(target);
        REQUIRE(response.ok());
        CHECK(response->m_status == 200);
        CHECK(response->m_body.find("kurek") == std::string::npos);
    }
}

TEST_SUITE_END();
