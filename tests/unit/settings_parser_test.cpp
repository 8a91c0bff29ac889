#include <fulmaryard/failure.hpp>
#include <fulmaryard/settings_parser.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace fulmaryard;

namespace
{

const std::string entry_text = R"(name: entry-1
region: be-1
failure_domain: be-1a
listen: 127.0.0.1:8080
peer_listen: 127.0.0.1:9080
platform: 127.0.0.1:7000
)";

const std::string side_text = R"(name: side-1
region: be-1
failure_domain: be-1a
peer_listen: 127.0.0.1:9101
platform: 127.0.0.1:7000
)";

bool entry_error_has(const std::string& text, const std::string& part)
{
    const auto parsed = parse_entry_settings(text, "entry.yaml");
    if (parsed.ok())
        return false;
    INFO(message_of(parsed.status()));
    CHECK(kind_of(parsed.status()) == failure_kind::invalid_request);
    const bool found = message_of(parsed.status()).find(part) != std::string_view::npos;
    CHECK_MESSAGE(found, part);
    return found;
}

} // namespace

TEST_SUITE_BEGIN("unit");

// Guards against settings that differ from what the operator wrote.
TEST_CASE("process settings are parsed and missing keys get their defaults")
{
    GIVEN("an entry's settings without optional keys")
    {
        const auto parsed = parse_entry_settings(entry_text, "entry.yaml");
        REQUIRE(parsed.ok());
        CHECK(parsed->m_name == "entry-1");
        CHECK(parsed->m_listen == "127.0.0.1:8080");
        CHECK(parsed->m_threads == entry_settings().m_threads);
        CHECK(parsed->m_drain_limit_ms == 300000);
        CHECK(parsed->advertised_address() == "127.0.0.1:9080");
    }
    GIVEN("an entry whose advertised peer address differs from its listening address")
    {
        const auto parsed =
            parse_entry_settings(entry_text + "peer_advertise: 127.0.0.1:9090\n", "entry.yaml");
        REQUIRE(parsed.ok());
        CHECK(parsed->m_peer_listen == "127.0.0.1:9080");
        CHECK(parsed->advertised_address() == "127.0.0.1:9090");
        CHECK(entry_error_has(entry_text + "peer_advertise: here\n", "peer_advertise"));
    }
    GIVEN("settings of a side process with an engine")
    {
        const auto parsed = parse_side_settings(
            side_text + "engine: 127.0.0.1:9201\nmax_retained_bytes: 5000000000\n", "side.yaml");
        REQUIRE(parsed.ok());
        CHECK(parsed->m_engine == "127.0.0.1:9201");
        CHECK(parsed->m_max_retained_bytes == 5'000'000'000U);
    }
}

// Guards against mistakes that are ignored or reported without their location.
TEST_CASE("settings errors name file, line, key and what was expected")
{
    SUBCASE("an unknown key")
    {
        CHECK(entry_error_has(entry_text + "lisen: x\n", "entry.yaml:7: lisen: expected one of"));
    }
    SUBCASE("a missing value")
    {
        CHECK(entry_error_has("name: entry-1\n", "platform: expected a value; it is missing"));
    }
    SUBCASE("a wrong type")
    {
        CHECK(entry_error_has(entry_text + "threads: [2]\n", "entry.yaml:7: threads: expected a"));
        CHECK(entry_error_has(entry_text + "threads: \"2\"\n", "7: threads: expected a number"));
        CHECK(entry_error_has(entry_text + "threads: 2.5\n", "7: threads: expected a number"));
        CHECK(entry_error_has(entry_text + "threads: -1\n", "7: threads: expected a number"));
        CHECK(entry_error_has(entry_text + "threads:\n", "7: threads: expected a value"));
        CHECK(entry_error_has(entry_text + "peers: 1\n", "7: peers: expected a list"));
    }
    SUBCASE("a number out of range")
    {
        CHECK(entry_error_has(entry_text + "threads: 0\n", "expected a number from 1 to 256"));
        CHECK(entry_error_has(
            entry_text + "threads: 99999999999999999999\n", "expected a number from 1 to 256"));
    }
    SUBCASE("an address with a host name")
    {
        CHECK(entry_error_has(
            entry_text + "peers: [\"localhost:1\"]\n", "peers[0]: expected an address IP:PORT"));
    }
    SUBCASE("a duplicate key")
    {
        CHECK(entry_error_has(entry_text + "name: entry-2\n", "7: name: expected the key only"));
    }
    SUBCASE("a malformed key hash")
    {
        CHECK(entry_error_has(
            entry_text + "administrators: [{name: a, key_hash: secret, tenants: [\"*\"]}]\n",
            "administrators[0].key_hash: expected a key hash"));
    }
    SUBCASE("several errors are reported together")
    {
        const std::string text = entry_text + "threads: 0\nplanner: fast\nbogus: 1\n";
        CHECK(entry_error_has(text, "entry.yaml:7: threads"));
        CHECK(entry_error_has(text, "entry.yaml:8: planner"));
        CHECK(entry_error_has(text, "entry.yaml:9: bogus"));
    }
    SUBCASE("invalid YAML, empty text and a document that is not a map")
    {
        CHECK(entry_error_has("a: [", "expected YAML"));
        CHECK(entry_error_has("", "expected"));
        CHECK(entry_error_has("- 1", "expected a map"));
        CHECK(entry_error_has("a: 1\n---\nb: 1\n", "expected one YAML document"));
    }
    SUBCASE("a file that does not exist")
    {
        CHECK_FALSE(parse_entry_settings(std::string("/nonexistent/entry.yaml")).ok());
    }
}

TEST_CASE("a side process requires exactly one of engine and worker")
{
    CHECK_FALSE(parse_side_settings(side_text, "side.yaml").ok());
    CHECK_FALSE(parse_side_settings(
                    side_text + "engine: 127.0.0.1:1\nworker: 127.0.0.1:2\nservice: s\n", "s")
                    .ok());
    CHECK_FALSE(parse_side_settings(side_text + "worker: 127.0.0.1:2\n", "side.yaml").ok());
    CHECK(parse_side_settings(side_text + "worker: 127.0.0.1:2\nservice: orders\n", "side.yaml")
              .ok());
}

TEST_CASE("settings of a router that have a fraction")
{
    // Guards against a router that does not start because the platform gives a fraction.
    const auto parse = [](const std::string& line)
    {
        const std::string text =
            "name: router-1\nregion: be-1\nfailure_domain: be-1a\nplatform: 127.0.0.1:7000\n"
            "listen: 127.0.0.1:1\nready_listen: 127.0.0.1:2\nmetrics_listen: 127.0.0.1:3\n"
            "peer_listen: 127.0.0.1:4\n";
        return parse_router_settings(text + line + "\n", "router.yaml");
    };
    const auto grace = [&](const std::string& line)
    {
        CAPTURE(line);
        const auto settings = parse(line);
        REQUIRE(settings.ok());
        return settings->m_grace_ms;
    };
    const auto error = [&](const std::string& line)
    {
        const auto settings = parse(line);
        return settings.ok() ? "none" : std::string(message_of(settings.status()));
    };
    SUBCASE("of seconds are kept to the millisecond")
    {
        CHECK(grace("grace_s: 7.5") == 7'500);
        CHECK(grace("grace_s: 7.3") == 7'300);
        CHECK(grace("grace_s: 8") == 8'000);
        CHECK(grace("grace_s: 8.0") == 8'000);
        CHECK(grace("grace_s: 0.25") == 250);
    }
    SUBCASE("of seconds are understood where a template has appended three zeros")
    {
        CHECK(grace("grace_ms: 7.5000") == 7'500);
        CHECK(grace("grace_ms: 12.25000") == 12'250);
        CHECK(grace("grace_ms: 8.0000") == 8'000);
        CHECK(grace("grace_ms: 8000") == 8'000);
    }
    SUBCASE("of counts are rounded down")
    {
        CHECK(parse("retry_slack: 198.7")->m_retry_slack == 198);
        CHECK(parse("instance_memory_mb: 260.5")->m_instance_memory_mb == 260);
    }
    SUBCASE("are refused with what is expected where they are none")
    {
        for (const std::string text : {"-1", "1e3", ".5", "5.", "1.5.0", "x", "nan", "86401"})
        {
            CAPTURE(text);
            CHECK(
                error("grace_s: " + text) ==
                "router.yaml:9: grace_s: expected a number of seconds from 0 to 86400");
        }
        for (const std::string text : {"7.5", "1500.000", "7500.5"})
        {
            CAPTURE(text);
            CHECK(
                error("grace_ms: " + text) ==
                "router.yaml:9: grace_ms: expected a number from 0 to 86400000");
        }
        CHECK(
            error("max_connections: 10.5").find("max_connections: expected a number") !=
            std::string::npos);
    }
    SUBCASE("are refused where two keys give one value")
    {
        CHECK(
            error("grace_s: 8\ngrace_ms: 7000").find("expected only one of the keys") !=
            std::string::npos);
    }
}

TEST_CASE("settings of a router that change while it runs")
{
    router_settings settings;
    settings.m_name = "router-1";
    settings.m_grace_ms = 8000;
    router_settings reloaded = settings;

    SUBCASE("take effect if the router can follow them")
    {
        reloaded.m_grace_ms = 4000;
        reloaded.m_retry_percent = 5;
        reloaded.m_retry_slack = 7;
        reloaded.m_log_level = "debug";
        CHECK(reload_router_settings(settings, reloaded).empty());
        CHECK(settings == reloaded);
    }
    SUBCASE("are named and kept otherwise")
    {
        reloaded.m_listen = "127.0.0.1:1";
        reloaded.m_answer_memory_bytes = 2'000'000;
        const auto before = settings;
        CHECK(
            reload_router_settings(settings, reloaded) ==
            std::vector<std::string>{"listen", "answer_memory_bytes"});
        CHECK(settings == before);
    }
}

TEST_SUITE_END();
