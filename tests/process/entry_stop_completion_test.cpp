#include "process/running_stream.hpp"
#include "process/test_requests.hpp"

#include <doctest/doctest.h>

#include <future>
#include <thread>
#include <vector>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

namespace
{

constexpr int endless_tokens = 4096;

/// Starts a model and an entry that exits 1.5 s after SIGTERM at the latest.
void add_model(test_system& system)
{
    system.add_engine("engine", {0, 6}, 6);
    system.add_engine_side("side", "engine", "domain-1");
    system.add_entry("entry", "domain-1", "drain_limit_ms: 1500\n");
}

http_request make_endless_completion()
{
    auto request = make_chat("shop", "endless", endless_tokens);
    const std::string flag = R"("stream":true)";
    request.m_body.replace(request.m_body.find(flag), flag.size(), R"("stream":false)");
    return request;
}

void apply_and_wait(test_system& system)
{
    REQUIRE(system.apply("entry", system.make_configuration("kitwerk", {"shop"})) == 0);
    REQUIRE(system.wait_ready("entry").ok());
    REQUIRE(wait_live(system, "entry", 1));
}

} // namespace

TEST_SUITE_BEGIN("entry_stop_completion");

TEST_CASE("a completion without events that is produced when a stopping entry has to exit")
{
    // Guards against a caller who gets no answer at the end of a planned stop.
    test_system system;
    add_model(system);
    apply_and_wait(system);
    auto answer = std::async(
        std::launch::async,
        [&] { return system.client("entry").send(make_endless_completion(), 20s); });
    std::this_thread::sleep_for(500ms);
    system.terminate("entry");
    const auto response = answer.get();
    REQUIRE(response.ok());
    CHECK(response->m_status == 504);
    CHECK(find_field(response->m_fields, "X-Fulmaryard-Outcome").value_or("") == "failed");
    // The engine is free again for the other entries.
    CHECK(wait_until(
        2s, [&] { return metric_of(system, "side", "fulmaryard_side_outstanding") == 0; }));
}

TEST_CASE("a completion that is queued when a stopping entry has to exit")
{
    // Guards against a caller whose request never ran and who is not told so.
    constexpr std::size_t capacity = 2; // Two streams for each place in a batch.
    test_system system;
    system.add_engine("engine", {0, 6}, 6, {"--batch-limit", "1"});
    system.add_engine_side("side", "engine", "domain-1");
    system.add_entry("entry", "domain-1", "drain_limit_ms: 1500\nfirst_token_target_ms: 5000\n");
    apply_and_wait(system);
    const auto send = [&] { return system.client("entry").send(make_endless_completion(), 20s); };
    std::vector<std::future<absl::StatusOr<http_response>>> running;
    for (std::size_t i = 0; i < capacity; ++i)
        running.push_back(std::async(std::launch::async, send));
    std::this_thread::sleep_for(500ms);
    auto queued = std::async(std::launch::async, send);
    std::this_thread::sleep_for(200ms);
    system.terminate("entry");
    const auto response = queued.get();
    REQUIRE(response.ok());
    CHECK(response->m_status == 503);
    CHECK(find_field(response->m_fields, "X-Fulmaryard-Outcome").value_or("") == "not-run");
    CHECK(find_field(response->m_fields, "Retry-After"));
    CHECK(response->m_body.find(R"("code":"draining")") != std::string::npos);
    for (auto& answer : running)
    {
        const auto ended = answer.get();
        REQUIRE(ended.ok());
        CHECK(ended->m_status == 504);
    }
}

TEST_CASE("a stream of events that is produced when a stopping entry has to exit")
{
    // Guards against a stream that its caller can't continue after a planned stop.
    test_system system;
    add_model(system);
    system.add_entry("entry-2", "domain-1");
    apply_and_wait(system);
    REQUIRE(system.wait_ready("entry-2").ok());
    REQUIRE(wait_live(system, "entry-2", 1));
    auto request = make_chat("shop", "endless", endless_tokens);
    request.m_fields.push_back({"X-Request-Id", "request-1"});
    running_stream stream(system.address("entry"), request);
    stream.read_tokens(5);
    system.terminate("entry");
    REQUIRE(system.process("entry").wait(3s).ok());
    stream.reconnect(system.address("entry-2"));
    const auto before = stream.tokens();
    stream.read_tokens(before + 20);
    CHECK(stream.tokens() >= before + 20);
    CHECK_FALSE(stream.done());
    CHECK_FALSE(stream.error());
}

TEST_SUITE_END();
