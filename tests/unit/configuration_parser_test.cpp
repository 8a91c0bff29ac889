#include "fixed_seed_property.hpp"

#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace fulmaryard;

namespace
{

const std::string key_hash = "sha256:00112233445566778899aabbccddeeff:"
                             "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

std::string valid_text()
{
    return R"(tenant: kitwerk
models:
  - {name: advisor, layers: 48}
pipelines:
  - name: advisor-3
    model: advisor
    stages:
      - [0, 16]
      - [16, 32]
      - [32, 48]
services:
  - name: orders
    paths: [/orders]
    methods: [GET, POST]
    idempotent_methods: [GET]
accounts:
  - name: pharmacy
    key_hashes: [")" +
           key_hash + R"("]
rules:
  - accounts: [pharmacy]
    models: [advisor]
    services: [orders]
)";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

void check_error(const std::string& from, const std::string& to, const std::string& part)
{
    const auto parsed = parse_tenant_configuration(replaced(valid_text(), from, to), "k.yaml");
    CHECK_MESSAGE(!parsed.ok(), to);
    if (parsed.ok())
        return;
    INFO(message_of(parsed.status()));
    CHECK_MESSAGE(message_of(parsed.status()).find(part) != std::string_view::npos, part);
}

} // namespace

TEST_SUITE_BEGIN("configuration");

// Guards against accepting files whose pipelines cannot run, and against errors that do not locate
// the mistake.
TEST_CASE("all parts of a declarative file are validated")
{
    SUBCASE("a valid file")
    {
        const auto parsed = parse_tenant_configuration(valid_text(), "k.yaml");
        REQUIRE_MESSAGE(parsed.ok(), parsed.status().ToString());
        CHECK(parsed->m_tenant == "kitwerk");
        CHECK(parsed->m_pipelines[0].m_stages[2] == layer_range{32, 48});
        CHECK(parsed->m_models[0].m_max_tokens == 1024);
    }
    SUBCASE("stages with a gap, an overlap, out of order, empty, short or too long")
    {
        check_error("[16, 32]", "[17, 32]", "k.yaml:9: pipelines[0].stages[1]: expected [16, END]");
        check_error("[16, 32]", "[15, 32]", "pipelines[0].stages[1]");
        check_error("[0, 16]", "[16, 32]", "pipelines[0].stages[0]");
        check_error("[16, 32]", "[16, 16]", "pipelines[0].stages[1]");
        check_error("[32, 48]", "[32, 47]", "stages up to layer 48");
        check_error("[32, 48]", "[32, 49]", "pipelines[0].stages[2]");
        check_error("[32, 48]", "[32]", "k.yaml:10: pipelines[0].stages[2]: expected a pair");
        check_error("[32, 48]", "[32, -1]", "pipelines[0].stages[2][1]: expected a number");
    }
    SUBCASE("references to undeclared names")
    {
        check_error("model: advisor", "model: other", "k.yaml:6: pipelines[0].model: expected a");
        check_error("accounts: [pharmacy]", "accounts: [other]", "rules[0].accounts[0]");
        check_error("models: [advisor]", "models: [other]", "rules[0].models[0]");
        check_error("services: [orders]", "services: [other]", "rules[0].services[0]");
        check_error("idempotent_methods: [GET]", "idempotent_methods: [PUT]", "method of the");
    }
    SUBCASE("duplicate names")
    {
        check_error(
            "  - {name: advisor, layers: 48}",
            "  - {name: advisor, layers: 48}\n  - {name: advisor, layers: 4}",
            "k.yaml:4: models[1].name: expected a unique name");
    }
    SUBCASE("malformed key hashes, paths, methods and names")
    {
        check_error(key_hash, "secret", "accounts[0].key_hashes[0]: expected a key hash");
        check_error("/orders", "orders", "services[0].paths[0]: expected a path");
        check_error("[GET, POST]", "[GET, FETCH]", "services[0].methods[1]: expected one of");
        check_error("tenant: kitwerk", "tenant: ../kitwerk", "k.yaml:1: tenant: expected a name");
    }
    SUBCASE("unknown keys and missing values inside lists")
    {
        check_error("layers: 48", "layer: 48", "models[0].layers: expected a value; it is missing");
        check_error("layers: 48", "layer: 48", "k.yaml:3: models[0].layer: expected one of");
    }
}

// Guards against a damaged file that crashes a process or the operator's command.
TEST_CASE("mutated files never crash the parser")
{
    CHECK(holds(
        []
        {
            std::string text = valid_text();
            const auto edits = *rc::gen::inRange(1, 12);
            for (int i = 0; i < edits; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                const auto count = *rc::gen::inRange<std::size_t>(0, 20);
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    text.erase(at, count);
                    break;
                case 1:
                    text.insert(at, 1, *rc::gen::arbitrary<char>());
                    break;
                case 2:
                    text.insert(
                        at, *rc::gen::elementOf(std::vector<std::string>{
                                "[",  "]",  "{",  "}",      ": ",    "- ", "&a ",
                                "*a", "\n", "  ", "? ",     "!!",    "|",  ">",
                                "\"", "'",  "#",  "<<: *a", "---\n", "\t", "99999999999"}));
                    break;
                default:
                    text.insert(at, text.substr(at / 2, count));
                    break;
                }
                if (text.empty())
                    text = "x";
            }
            const auto parsed = parse_tenant_configuration(text, "k.yaml");
            if (!parsed.ok())
                RC_ASSERT(message_of(parsed.status()).starts_with("k.yaml:"));
        },
        2000, 20260401));
    SUBCASE("deep nesting")
    {
        for (const char* open : {"[", "{a: ", "- ", "? ", "&a [", "!!x "})
        {
            std::string text;
            for (int i = 0; i < 20'000; ++i)
                text += open;
            CHECK_FALSE(parse_tenant_configuration(text, "k.yaml").ok());
        }
    }
}

// Guards against processes that compute different hashes of the same file, and against fields that
// are lost when a file is stored at the platform.
TEST_CASE("a configuration round-trips through its canonical form")
{
    configuration original;
    original.m_generation = 18'446'744'073'709'551'615U;
    original.m_tenants = {*parse_tenant_configuration(valid_text(), "k.yaml")};
    const auto decoded = decode_configuration(encode_configuration(original));
    REQUIRE(decoded.ok());
    CHECK(*decoded == original);
    const auto& file = original.m_tenants[0];
    CHECK(*decode_tenant_configuration(encode_tenant_configuration(file)) == file);
    CHECK(content_hash(file).size() == 64);
    SUBCASE("any change changes the hash")
    {
        auto changed = file;
        changed.m_rules[0].m_priority = 1;
        CHECK(content_hash(changed) != content_hash(file));
    }
    SUBCASE("damaged text is rejected")
    {
        const std::string text = encode_tenant_configuration(file);
        for (std::size_t size = 0; size < text.size(); ++size)
            CHECK_FALSE(decode_tenant_configuration(text.substr(0, size)).ok());
        CHECK_FALSE(decode_configuration("{\"generation\":-1,\"tenants\":[]}").ok());
        CHECK_FALSE(decode_configuration("{\"generation\":1}").ok());
    }
    SUBCASE("key hashes are hidden on request")
    {
        CHECK(encode_without_secrets(file).find("sha256") == std::string::npos);
    }
}

TEST_CASE("a key hash verifies only its own secret")
{
    const std::string hash = make_key_hash("secret");
    CHECK(is_key_hash(hash));
    CHECK(verify_key("secret", hash));
    CHECK_FALSE(verify_key("Secret", hash));
    CHECK_FALSE(verify_key("", hash));
    CHECK_FALSE(verify_key("secret", "sha256::"));
    CHECK_FALSE(verify_key("secret", hash + "0"));
    CHECK(make_key_hash("secret") != hash);
}

TEST_SUITE_END();
