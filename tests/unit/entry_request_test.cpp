#include "account_usage_exchange.hpp"

#include <fulmaryard/call_table.hpp>
#include <fulmaryard/completion_request.hpp>
#include <fulmaryard/configuration_index.hpp>
#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/rendezvous.hpp>
#include <fulmaryard/request_context.hpp>
#include <fulmaryard/request_filter.hpp>
#include <fulmaryard/service_retry.hpp>
#include <fulmaryard/stream_locator.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace fulmaryard;

namespace
{

std::shared_ptr<const configuration_index> make_index()
{
    tenant_configuration tenant;
    tenant.m_tenant = "t";
    tenant.m_models = {{"m", 16, 100}, {"hidden", 16, 100}};
    tenant.m_services = {
        {"orders", {"/orders", "/orders/"}, {"GET", "POST"}, {"GET"}, 1000},
        {"special", {"/orders/special/"}, {"GET"}, {"GET"}, 1000}};
    client_account account;
    account.m_name = "a";
    account.m_key_hashes = {make_key_hash("other"), make_key_hash("se.cret")};
    tenant.m_accounts = {account};
    tenant.m_rules = {{{"a"}, {"m"}, {"orders"}, 1}, {{"a"}, {"m"}, {}, 7}};
    auto source = std::make_shared<configuration>();
    source->m_generation = 3;
    source->m_tenants = {tenant};
    return std::make_shared<configuration_index>(source);
}

struct filter_result
{
    http_request m_request;
    request_context m_context;
    absl::Status m_status;
};

std::unique_ptr<filter_result> filter(
    const std::string& method, const std::string& target, const std::string& body = "",
    const std::string& token = "Bearer a.se.cret", const std::string& id = "id-1",
    bool draining = false)
{
    auto result = std::make_unique<filter_result>();
    result->m_request = {method, target, {{"Authorization", token}, {"X-Request-Id", id}}, body};
    result->m_context.m_request = &result->m_request;
    result->m_context.m_configuration = make_index();
    const std::atomic<bool> flag{draining};
    result->m_status = apply_filters(make_request_filters(flag), result->m_context);
    return result;
}

const std::string chat = "/v1/chat/completions";
const std::string chat_body =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5})";

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("completion and chat completion bodies are parsed")
{
    const auto read = parse_completion_request(
        R"({"model":"m","messages":[{"role":"system","content":"be brief"},
            {"role":"user","content":[{"type":"text","text":"hello"}]}],
            "max_tokens":7,"stream":true,"stream_options":{"include_usage":true},"unknown":1})",
        true);
    REQUIRE(read.ok());
    CHECK(*read == completion_request{"m", "system: be brief\nuser: hello", 7, true});
    CHECK(
        *parse_completion_request(R"({"model":"m","prompt":"x","stream":null})", false) ==
        completion_request{"m", "x", 0, false});
}

TEST_CASE("an invalid completion body is rejected with outcome not_run")
{
    for (const char* const body :
         {"", "{", "[]", "null", R"({"model":"m"})", R"({"model":1,"prompt":"x"})",
          R"({"model":"m","prompt":["x","y"]})", R"({"model":"m","prompt":"x","stream":"yes"})",
          R"({"model":"m","prompt":"x","max_tokens":0})",
          R"({"model":"m","prompt":"x","max_tokens":-1})",
          R"({"model":"m","prompt":"x","max_tokens":1.5})",
          R"({"model":"m","prompt":"x","max_tokens":4294967296})",
          R"({"model":"m","prompt":"x","max_tokens":99999999999999999999999})",
          R"({"model":"m","prompt":"x","max_tokens":1e999})", R"({"model":"m","prompt":"x","n":2})",
          R"({"model":"m","prompt":"x"} trailing)"})
    {
        CAPTURE(body);
        const auto read = parse_completion_request(body, false);
        REQUIRE_FALSE(read.ok());
        CHECK(kind_of(read.status()) == failure_kind::invalid_request);
        CHECK(outcome_of(read.status()) == outcome::not_run);
    }
    // Deep nesting must not overflow the stack.
    const std::string deep(1'000'000, '[');
    CHECK_FALSE(parse_completion_request(R"({"model":)" + deep, false).ok());
    CHECK_FALSE(parse_completion_request(R"({"model":"m","messages":[{"role":1}]})", true).ok());
    CHECK_FALSE(parse_completion_request(R"({"model":"m","messages":[]})", true).ok());
}

TEST_CASE("filters fill in the request context or reject the request")
{
    SUBCASE("a valid request")
    {
        const auto good = filter("POST", chat, chat_body);
        REQUIRE(good->m_status.ok());
        CHECK(good->m_context.m_request_id == "id-1");
        CHECK(good->m_context.m_model->m_name == "m");
        CHECK(good->m_context.m_priority == 7);
    }
    SUBCASE("the longest matching service path is chosen")
    {
        CHECK(filter("GET", "/orders/7?x=1")->m_context.m_service->m_name == "orders");
        CHECK(filter("GET", "/orders/special/7")->m_context.m_service->m_name == "special");
    }
    SUBCASE("rejected requests")
    {
        const auto kind = [](const auto& refused)
        {
            CHECK(outcome_of(refused->m_status) == outcome::not_run);
            CHECK_FALSE(refused->m_context.m_request_id.empty());
            return kind_of(refused->m_status);
        };
        CHECK(kind(filter("POST", chat, chat_body, "")) == failure_kind::unauthenticated);
        CHECK(kind(filter("POST", chat, chat_body, "Bearer a")) == failure_kind::unauthenticated);
        CHECK(kind(filter("POST", chat, chat_body, "Bearer a.x")) == failure_kind::unauthenticated);
        CHECK(kind(filter("POST", chat, chat_body, "Bearer b.x")) == failure_kind::unauthenticated);
        CHECK(kind(filter("GET", chat)) == failure_kind::method_not_allowed);
        CHECK(kind(filter("PUT", "/orders")) == failure_kind::method_not_allowed);
        CHECK(kind(filter("GET", "/nothing")) == failure_kind::path_not_found);
        CHECK(kind(filter("GET", "/orders/special/1")) == failure_kind::forbidden);
        CHECK(
            kind(filter("POST", "/v1/completions", R"({"model":"x","prompt":"p"})")) ==
            failure_kind::model_not_found);
        CHECK(
            kind(filter("POST", "/v1/completions", R"({"model":"hidden","prompt":"p"})")) ==
            failure_kind::forbidden);
        CHECK(
            kind(filter("POST", chat, chat_body, "Bearer a.se.cret", std::string(129, 'x'))) ==
            failure_kind::invalid_request);
        CHECK(
            kind(filter("POST", chat, chat_body, "Bearer a.se.cret", "id", true)) ==
            failure_kind::draining);
    }
}

TEST_CASE("error responses contain the status, Retry-After, outcome and request id")
{
    const auto response = error_response(
        make_failure(failure_kind::overloaded, "say \"later\""), "id",
        std::chrono::milliseconds(1200));
    CHECK(response.m_status == 503);
    CHECK(find_field(response.m_fields, "Retry-After") == "2");
    CHECK(find_field(response.m_fields, "X-Fulmaryard-Outcome") == "not-run");
    CHECK(
        response.m_body ==
        R"({"error":{"message":"say \"later\"","type":"server_error","code":"overloaded",)"
        R"("outcome":"not-run","request_id":"id"}})");
}

TEST_CASE("stream locators round-trip through event ids, and malformed ids are rejected")
{
    const stream_locator original{{1, 2}, {"10.0.0.1:7000", "[fe80::1]:7001"}, 12};
    const std::string text = to_string(original);
    CHECK(text.find_first_not_of("0123456789abcdefGH_.~") == std::string::npos);
    CHECK(*parse_stream_locator(text) == original);
    const std::string id = to_string(stream_id{1, 2});
    for (const std::string& bad :
         {std::string(), id, id + ".1", id + "~.1", id + "~10.0.0.1_7000", id + "~10.0.0.1_7000.x",
          id + "~host_7000.1", id + "~10.0.0.1_99999.1", id + "~10.0.0.1_7000.4294967296",
          "x" + id + "~10.0.0.1_7000.1"})
    {
        CAPTURE(bad);
        CHECK_FALSE(parse_stream_locator(bad).ok());
    }
    std::string too_many_addresses = id;
    for (int i = 0; i < 65; ++i)
        too_many_addresses += "~10.0.0.1_7000";
    CHECK_FALSE(parse_stream_locator(too_many_addresses + ".1").ok());
}

TEST_CASE("removing a side process reassigns only its own keys")
{
    const std::vector<std::string> all{"s1", "s2", "s3", "s4"};
    int moved = 0;
    for (std::uint64_t key = 0; key < 64; ++key)
    {
        auto expected = rendezvous_order(key, all);
        moved += expected[0] == "s2" ? 1 : 0;
        std::erase(expected, "s2");
        CHECK(rendezvous_order(key, {"s4", "s1", "s3"}) == expected);
    }
    CHECK(moved > 4);
    CHECK(moved < 32);
}

TEST_CASE("account usage reports round-trip through JSON, and malformed reports are rejected")
{
    const auto report = parse_account_usage(format_account_usage({"e1", 7, {{"a", 1.5}}}));
    REQUIRE(report);
    CHECK(report->m_entry == "e1");
    CHECK(report->m_generation == 7);
    CHECK(report->m_request_rates == std::map<std::string, double>{{"a", 1.5}});
    for (const auto* const bad :
         {"", "[]", R"({"entry":"e","generation":1})", R"({"entry":"e","use":{"a":1}})",
          R"({"entry":"e","generation":1,"use":{"a":-1}})",
          R"({"entry":"e","generation":1,"use":{"a":"x"}})",
          R"({"entry":"e","generation":-1,"use":{}})", R"({"entry":1,"generation":1,"use":{}})"})
        CHECK_FALSE(parse_account_usage(bad));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("right_caller");

TEST_CASE("a result completes only the call with its id at the peer that received the call")
{
    call_table calls;
    std::vector<service_result> first;
    std::vector<service_result> second;
    const auto first_call =
        calls.add("s1", "p1", [&](service_result r) { first.push_back(std::move(r)); });
    const auto second_call =
        calls.add("s2", "p2", [&](service_result r) { second.push_back(std::move(r)); });
    service_result result;
    result.m_ok = true;
    result.m_status = 200;
    result.m_call = second_call;
    CHECK_FALSE(calls.complete("s1", result));
    result.m_call = first_call;
    CHECK(calls.complete("s1", result));
    CHECK_FALSE(calls.complete("s1", result));
    CHECK(first.size() == 1);
    CHECK(second.empty());
    calls.fail_peer("s2");
    REQUIRE(second.size() == 1);
    CHECK(second[0].m_outcome == outcome::unknown);
    result.m_call = second_call;
    CHECK_FALSE(calls.complete("s2", result));
    const auto late =
        calls.add("s1", "p1", [](const service_result&) { FAIL("completed after removal"); });
    calls.remove(late);
    result.m_call = late;
    CHECK_FALSE(calls.complete("s1", result));
}

TEST_CASE("a result without a valid status code is not an answer")
{
    // Guards against a response of a worker that a process of an older version passes on although
    // it is not valid, or that it has stored.
    call_table calls;
    for (const unsigned status : {0U, 7U, 99U, 100U, 200U, 404U, 599U, 600U, 999U, 70'000U})
    {
        CAPTURE(status);
        service_result completed;
        service_result sent;
        sent.m_call =
            calls.add("s1", "p1", [&](service_result result) { completed = std::move(result); });
        sent.m_ok = true;
        sent.m_status = status;
        sent.m_body = "body";
        CHECK(calls.complete("s1", sent));
        CHECK(completed.m_call == sent.m_call);
        if (status >= 100 && status <= 599)
            CHECK(completed == sent);
        else
        {
            CHECK_FALSE(completed.m_ok);
            CHECK(completed.m_body.empty());
            CHECK(completed.m_failure == failure_kind::endpoint_lost);
            CHECK(completed.m_outcome == outcome::unknown);
        }
    }
}

TEST_CASE("a call to a process that was replaced at its address ends at once")
{
    // Guards against a caller that waits until its deadline, and an entry that cannot stop until
    // then, because the side process restarted before its link was reported as down.
    call_table calls;
    std::vector<service_result> old;
    std::vector<service_result> current;
    calls.add("s1", "p1", [&](service_result r) { old.push_back(std::move(r)); });
    calls.add("s1", "p2", [&](service_result r) { current.push_back(std::move(r)); });
    calls.add("s2", "p1", [&](service_result r) { current.push_back(std::move(r)); });
    calls.fail_replaced("s1", "p2");
    REQUIRE(old.size() == 1);
    CHECK(old[0].m_outcome == outcome::unknown);
    CHECK(current.empty());
    CHECK(calls.size() == 2);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("a non-idempotent call is retried only after a rejection with outcome not_run")
{
    service_result result;
    for (const auto call_outcome : {outcome::not_run, outcome::unknown, outcome::failed})
    {
        for (int kind = 0; kind <= static_cast<int>(failure_kind::internal); ++kind)
        {
            result.m_failure = static_cast<failure_kind>(kind);
            result.m_outcome = call_outcome;
            if (call_outcome != outcome::not_run)
                CHECK_FALSE(may_retry_service_call(false, result));
        }
    }
    result.m_outcome = outcome::not_run;
    result.m_failure = failure_kind::draining;
    CHECK(may_retry_service_call(false, result));
    result.m_failure = failure_kind::key_reused;
    CHECK_FALSE(may_retry_service_call(true, result));
    result.m_failure = failure_kind::endpoint_lost;
    result.m_outcome = outcome::unknown;
    CHECK(may_retry_service_call(true, result));
}

TEST_SUITE_END();
