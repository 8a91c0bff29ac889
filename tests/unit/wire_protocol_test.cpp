#include "settings_template.hpp"
#include "wire_decode.hpp"
#include "wire_protocol.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/settings_parser.hpp>

#include <boost/json/parse.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

http_request make_request()
{
    return {
        "POST",
        "/chat/1?x=2",
        {{"Host", "shop.example:80"},
         {"Fulmaryard-Attempt-Id", "9c41"},
         {"Fulmaryard-Token-Usage", "1460,80"},
         {"Fulmaryard-Length-Hint", "40"},
         {"Fulmaryard-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"},
         {"Fulmaryard-Deadline-Ms", "20000"},
         {"Fulmaryard-Tenant", "somebody-else"},
         {"Authorization", "Bearer secret"},
         {"Connection", "keep-alive"},
         {"X-Own", "kept"}},
        "body"};
}

std::string field(const http_request& request, std::string_view name)
{
    return std::string(find_field(request.m_fields, name).value_or("none"));
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("call encoding of the platform protocol")
{
    // Guards against forwarding the caller's key, trusting an account name sent by the caller, and
    // sending endpoints a deadline later than the caller's.
    const wire_protocol protocol;
    const auto call = protocol.read_call(make_request());
    REQUIRE(call.ok());
    CHECK(call->m_id == "9c41");
    CHECK(call->m_host == "shop.example");
    CHECK(call->m_key == "secret");
    CHECK(call->m_deadline == 20s);
    CHECK(call->m_prompt_tokens == 1460);
    CHECK(call->m_max_answer_tokens == 80);
    CHECK(call->m_expected_answer_tokens == 40);
    CHECK(call->m_shared_parts == std::vector<std::string>{"5c1e07a2"});
    CHECK_FALSE(call->m_resume_after);

    SUBCASE("rejects a request without an attempt id")
    {
        http_request request = make_request();
        request.m_fields.erase(request.m_fields.begin() + 1);
        CHECK_FALSE(protocol.read_call(request).ok());
    }
    SUBCASE("replaces the router's own fields and removes the key")
    {
        call_target target;
        target.m_endpoint = "i-1";
        target.m_account = "kitwerk";
        target.m_time_left = 1500ms;
        target.m_path = {{"i-1", "10.0.0.1:80", {0, 30}}, {"i-2", "10.0.0.2:80", {30, 80}}};
        target.m_resume_after = 12;
        const auto sent = protocol.write_call(*call, target);
        CHECK(sent.m_method == "POST");
        CHECK(sent.m_target == "/chat/1?x=2");
        CHECK(sent.m_body.empty()); // Sent from the call, which all attempts share.
        CHECK(field(sent, "Authorization") == "none");
        CHECK(field(sent, "Fulmaryard-Tenant") == "kitwerk");
        CHECK(field(sent, "Fulmaryard-Deadline-Ms") == "1500");
        CHECK(field(sent, "Fulmaryard-Expect-Instance") == "i-1");
        CHECK(field(sent, "Fulmaryard-Hop-Count") == "10.0.0.1:80=0-30,10.0.0.2:80=30-80");
        CHECK(field(sent, "Last-Event-Id") == "12");
        CHECK(field(sent, "X-Own") == "kept");
        CHECK(field(sent, "Connection") == "none");
    }
    SUBCASE("matches an answer to the call by its attempt id")
    {
        const auto own = protocol.read_answer(
            *call, 503,
            {{"Fulmaryard-Attempt-Id", "9c41"},
             {"Fulmaryard-Not-Executed", "1"},
             {"At-Server", "10.0.0.2:80"}});
        CHECK(own.m_matches_call);
        CHECK(own.m_not_run);
        CHECK(own.m_refused_by == "10.0.0.2:80");
        CHECK_FALSE(own.m_signed);
        CHECK_FALSE(
            protocol.read_answer(*call, 200, {{"Fulmaryard-Attempt-Id", "9c42"}}).m_matches_call);
        // A 503 alone does not imply that the call was not run.
        CHECK_FALSE(
            protocol.read_answer(*call, 503, {{"Fulmaryard-Attempt-Id", "9c41"}}).m_not_run);
    }
    SUBCASE("sends the retry delay of a refusal in seconds")
    {
        const auto refusal = protocol.refusal(*call, 503, 1250ms);
        CHECK(find_field(refusal.m_fields, "Retry-After").value_or("") == "1.250");
    }
}

TEST_CASE("refused repath order")
{
    // Guards against repeated orders for a path over an endpoint that cannot serve it. This happens
    // if the router does not read the endpoint's address from the refusal.
    const wire_protocol protocol;
    const auto refused_address = [&](const char* body) {
        return protocol.read_repath_refuser({409, {}, body});
    };
    CHECK(refused_address(R"({"address":"10.0.0.1:80"})") == "10.0.0.1:80");
    for (const auto* body : {"", "{}", "[]", R"({"address":7})", "{"})
        CHECK(refused_address(body).empty());
}

TEST_CASE("router settings template")
{
    // Guards against deploying a template that gives routers invalid settings, so that they do not
    // start.
    constexpr std::string_view text =
        "name: \"{{node_id}}\"\nregion: r\nfailure_domain: {{zone}}\n"
        "platform: {{platform.address}}\nlisten: {{listen.front}}\n"
        "ready_listen: {{listen.ready}}\nmetrics_listen: {{ip}}:9464\n"
        "peer_listen: {{ip}}:{{port_range.0}}\ngrace_ms: {{contract_params.grace_s}}000\n"
        "retry_slack: {{contract_params.budget_slack}}\n";
    const auto filled = fill_template_with_samples(text);
    REQUIRE(filled.ok());
    const auto settings = parse_router_settings(*filled, "template");
    REQUIRE(settings.ok());
    CHECK(settings->m_grace_ms == 8000);
    CHECK(settings->m_retry_slack == 198);
    const auto fractions = fill_template_with_samples(text, sample_kind::fractions);
    REQUIRE(fractions.ok());
    const auto with_fractions = parse_router_settings(*fractions, "template");
    REQUIRE(with_fractions.ok());
    CHECK(with_fractions->m_grace_ms == 7'500);
    const auto unknown = fill_template_with_samples("name: {{nobody}}");
    REQUIRE_FALSE(unknown.ok());
    CHECK(message_of(unknown.status()).find("{{nobody}}") != std::string_view::npos);
    CHECK_FALSE(fill_template_with_samples("name: {{node_id").ok());
}

TEST_CASE("event ids")
{
    // Guards against a resumed stream that repeats or skips events because an id was misread.
    const wire_protocol protocol;
    CHECK(protocol.event_id("id: 7\ndata: x\n\n") == 7);
    CHECK(protocol.event_id("data: id: 9\nid:8\n\n") == 8);
    CHECK_FALSE(protocol.event_id("data: x\n\n"));
}

TEST_CASE("endpoint entries of the platform store")
{
    // Guards against accepting an invalid entry written by other software as an endpoint, and
    // against an invalid entry that prevents the valid ones from being read.
    const auto decode = [](const char* text)
    { return decode_endpoint("i-1", boost::json::parse(text)); };
    const auto record = decode(
        R"({"service":"model","address":"10.0.0.1:80","zone":"a","slots":192,"state":"draining",
            "kind":"l4","born":1770553709100,"seq":4,"layers":{"from":5,"target":9,"version":1}})");
    REQUIRE(record.ok());
    CHECK(record->m_leaving);
    CHECK(record->m_accelerator == "l4");
    CHECK(record->m_layers == layer_range{5, 9});
    CHECK(record->m_started_ms == 1770553709100);
    for (const auto* text :
         {"null", "[]", "{}",
          R"({"service":1,"address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready"})",
          R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":1,"state":"odd"})",
          R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":"1","state":"ready"})"})
        CHECK_FALSE(decode(text).ok());
}

TEST_CASE("routing configuration")
{
    // Guards against applying a configuration version of which some part could not be decoded.
    const auto decode = [](const char* text)
    { return decode_configuration(boost::json::parse(text)); };
    const auto configuration = decode(
        R"({"version":7,"routes":[{"host":"h","path_prefix":"/a/","kind":"streaming",
            "timeout_ms":20000,"slo_ms":500,"service":"model","attempts":2,"resumable":true}],
            "services":[{"name":"model"}],
            "tenants":[{"name":"t","api_keys":["k"],"priority":1},{"name":"u","api_keys":[]}]})");
    REQUIRE(configuration.ok());
    CHECK(configuration->m_version == 7);
    CHECK(configuration->m_routes[0].m_kind == call_kind::streaming);
    CHECK(configuration->m_routes[0].m_timeout == 20s);
    CHECK(configuration->m_accounts[0].m_priority == 1U);
    CHECK_FALSE(configuration->m_accounts[1].m_priority);
    const auto broken = decode(R"({"version":8,"routes":[{"host":"h"}]})");
    REQUIRE_FALSE(broken.ok());
    CHECK(message_of(broken.status()).find("path_prefix") != std::string_view::npos);
}

TEST_SUITE_END();
