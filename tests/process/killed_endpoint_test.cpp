#include "process/router_system.hpp"

#include <atomic>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("killed_endpoint");

namespace
{

/// Head of an answer that ends with its connection.
std::string head_of(const std::string& call)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: {}\r\nFulmaryard-Response-Signature: s\r\n"
        "Connection: close\r\n\r\n",
        call);
}

const std::string first_half = "id: 1\ndata: x\n\n";
const std::string second_half = "id: 2\ndata: y\n\n";

/// Two endpoints of which the one that is called first answers with `first_half`.
struct endpoint_pair
{
    endpoint_pair()
    {
        for (int i = 0; i < 2; ++i)
        {
            m_endpoints.push_back(std::make_unique<scripted_endpoint>(
                [this, i](const std::string& call, int) { return answer(i, call); }));
        }
    }

    scripted_endpoint::reply answer(int index, const std::string& call)
    {
        if (m_calls++ > 0)
            return {head_of(call) + second_half, true};
        auto& self = *m_endpoints[static_cast<std::size_t>(index)];
        if (m_is_killed)
            self.stop_listening();
        if (m_is_silent)
            self.set_reports(scripted_endpoint::report_mode::silent);
        return {head_of(call) + first_half, true};
    }

    /// Lists them as the first endpoints of a pipeline with a sound last one, if `layers` are
    /// given.
    void list_at(const router_system& system, std::optional<layer_range> layers)
    {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i)
            system.add_endpoint(fmt::format("endpoint-{}", i), *m_endpoints[i], layers);
        if (layers)
            system.add_endpoint("last", m_last, layer_range{6, 12});
    }

    std::atomic<int> m_calls{0};
    bool m_is_killed{false};
    bool m_is_silent{false};
    std::vector<std::unique_ptr<scripted_endpoint>> m_endpoints;
    scripted_endpoint m_last{[](const std::string&, int) { return scripted_endpoint::reply{}; }};
};

} // namespace

TEST_CASE("an answer without a length whose endpoint is killed between two events")
{
    // Guards against a part of an answer that reaches its caller as complete.
    endpoint_pair endpoints;
    endpoints.m_is_killed = true;
    router_system system(0, 0);
    std::string method = "POST";
    std::string target = "/chat/1";
    std::optional<layer_range> layers{layer_range{0, 6}};
    SUBCASE("of a stream goes on at another one") {}
    SUBCASE("of a call that may be repeated is fetched from another one")
    {
        method = "GET";
        target = "/look/1";
        layers.reset();
    }
    SUBCASE("of a call that may run once has an unknown outcome")
    {
        target = "/orders/1";
        layers.reset();
    }
    endpoints.list_at(system, layers);
    system.start_router("router-1");
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request(method, target, "call"));
    REQUIRE(response.ok());
    if (target == "/orders/1")
    {
        CHECK(response->m_status == 502);
        CHECK(endpoints.m_calls == 1);
        return;
    }
    CHECK(response->m_status == 200);
    CHECK(response->m_body == (layers ? first_half + second_half : second_half));
}

TEST_CASE("an answer without a length whose endpoint goes on")
{
    // Guards against a whole answer that counts as broken, or that runs twice.
    endpoint_pair endpoints;
    SUBCASE("and answers") {}
    SUBCASE("and is silent for a moment")
    {
        endpoints.m_is_silent = true;
    }
    std::string method = "POST";
    std::string target = "/chat/1";
    std::optional<layer_range> layers{layer_range{0, 6}};
    SUBCASE("after a stream") {}
    SUBCASE("after a call")
    {
        target = "/orders/1";
        layers.reset();
    }
    router_system system(0, 0);
    endpoints.list_at(system, layers);
    system.start_router("router-1");
    const auto response = test_client(system.address("router-1"))
                              .send(router_system::make_request(method, target, "call"));
    REQUIRE(response.ok());
    CHECK(response->m_status == 200);
    CHECK(response->m_body == first_half);
    CHECK(endpoints.m_calls == 1);
}

TEST_SUITE_END();
