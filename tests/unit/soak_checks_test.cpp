#include "soak/soak_checks.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fulmaryard::soak;
using namespace std::chrono_literals;

namespace
{

soak_request make_request(const std::string& id, soak_request::kind kind)
{
    soak_request request;
    request.m_id = id;
    request.m_kind = kind;
    request.m_key = "secret";
    request.m_sent = 5s;
    request.m_ended = 6s;
    request.m_request_written = true;
    request.m_status = 200;
    request.m_complete = true;
    request.m_response_attempt_id = id;
    request.m_events = 2;
    request.m_body = kind == soak_request::kind::stream
                         ? "id: 1\ndata: " + id + " 1\n\nid: 2\ndata: " + id + " 2\n\n"
                         : "done " + id;
    return request;
}

/// A run without violations.
soak_record make_record()
{
    soak_record record;
    record.m_plan.m_planned_only = true;
    record.m_requests = {
        make_request("stream", soak_request::kind::stream),
        make_request("once", soak_request::kind::once)};
    record.m_runs = {{"stream", 1}, {"once", 1}};
    record.m_arrivals = record.m_runs;
    record.m_recovered = true;
    return record;
}

/// Names of the checks that report a violation.
std::vector<std::string> found(const soak_record& record)
{
    std::vector<std::string> names;
    for (const auto& result : check_guarantees(record))
    {
        if (!result.m_violations.empty())
            names.push_back(result.m_check);
    }
    return names;
}

using names = std::vector<std::string>;

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("the checks of the soak")
{
    // Guards against a check that never reports a violation.
    auto record = make_record();
    REQUIRE(found(record).empty());
    auto& stream = record.m_requests[0];
    auto& once = record.m_requests[1];

    SUBCASE("find a missing, a repeated and a foreign event")
    {
        stream.m_body = "id: 2\ndata: stream 2\n\n";
        CHECK(found(record) == names{"streams"});
        stream.m_body = "id: 1\ndata: stream 1\n\nid: 1\ndata: stream 1\n\n";
        CHECK(found(record) == names{"streams"});
        stream.m_body = "id: 1\ndata: stream 1\n\nid: 2\ndata: other 2\n\n";
        CHECK(found(record) == names{"streams"});
    }
    SUBCASE("find a stream that ends early but looks complete")
    {
        stream.m_body = "id: 1\ndata: stream 1\n\n";
        CHECK(found(record) == names{"streams"});
    }
    SUBCASE("find a response to another request")
    {
        once.m_response_attempt_id = "other";
        CHECK(found(record) == names{"right_caller"});
    }
    SUBCASE("find a call that ran twice, and a refused one that ran")
    {
        record.m_runs["once"] = 2;
        CHECK(found(record) == names{"at_most_once"});
        record.m_runs["once"] = 1;
        once.m_status = 503;
        CHECK(found(record) == names{"not_run"});
    }
    SUBCASE("find a path that misses layers")
    {
        record.m_wrong_paths = 1;
        CHECK(found(record) == names{"layers_once"});
    }
    SUBCASE("find new work at a leaving endpoint, unless a fault kept routers from learning of it")
    {
        record.m_late_arrivals = {9s};
        CHECK(found(record) == names{"leaving"});
        record.m_injected_faults = {{8s, 1s, fault_kind::store_down, 0}};
        CHECK(found(record).empty());
    }
    SUBCASE("find a response truncated by planned maintenance")
    {
        stream.m_complete = false;
        stream.m_body = "id: 1\ndata: stream 1\n\n";
        CHECK(found(record) == names{"graceful_shutdown"});
        record.m_plan.m_planned_only = false;
        CHECK(found(record).empty());
    }
    SUBCASE("do not require a response from a router that is not running")
    {
        once.m_status = 0;
        once.m_complete = false;
        CHECK(found(record) == names{"graceful_shutdown"});
        record.m_down = {{0, 4900ms, 5100ms}};
        CHECK(found(record).empty());
        record.m_down = {{1, 4900ms, 5100ms}, {0, 3s, 4s}};
        CHECK(found(record) == names{"graceful_shutdown"});
    }
    SUBCASE("find a revoked key that is accepted too long, and a granted key that is refused")
    {
        once.m_key = "second";
        record.m_injected_faults = {{1s, 0s, fault_kind::key_revoked, 0}};
        CHECK(found(record) == names{"configuration"});
        record.m_injected_faults = {{4s, 0s, fault_kind::key_revoked, 0}};
        CHECK(found(record).empty());
        once.m_status = 401;
        record.m_injected_faults.clear();
        CHECK(found(record) == names{"configuration"});
    }
    SUBCASE("find a router that goes back to an older configuration")
    {
        record.m_injected_faults = {{4s, 0s, fault_kind::key_revoked, 0}};
        once.m_key = "second";
        once.m_status = 401;
        auto later = make_request("later", soak_request::kind::once);
        later.m_key = "second";
        later.m_sent = 6100ms;
        record.m_requests.push_back(later);
        record.m_injected_faults[0].m_at = 4500ms;
        CHECK(found(record) == names{"never_back"});
    }
    SUBCASE("find retries beyond the budget, and a system that does not recover")
    {
        record.m_arrivals["stream"] = 43;
        CHECK(found(record) == names{"budget"});
        record.m_arrivals["stream"] = 1;
        record.m_recovered = false;
        CHECK(found(record) == names{"recovery"});
    }
}

TEST_CASE("the plan of a seed")
{
    // Guards against a plan that cannot be reproduced from its seed.
    const auto plan = make_plan(7, 8s, 3, 7);
    CHECK(plan == make_plan(7, 8s, 3, 7));
    CHECK(plan != make_plan(8, 8s, 3, 7));
    CHECK(std::is_sorted(plan.m_faults.begin(), plan.m_faults.end()));
    for (const auto& one : make_plan(8, 60s, 3, 7).m_faults)
        CHECK(is_planned(one.m_kind));
}

TEST_SUITE_END();
