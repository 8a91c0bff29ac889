#include "process/router_system.hpp"

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("odd_entries");

namespace
{

std::string nested(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += "[";
    return text + std::string(depth, ']');
}

std::string entry(const std::string& spec, const std::string& revision = "1")
{
    return fmt::format(
        R"({{"metadata":{{"name":"odd&one","revision":{}}},"spec":{}}})", revision, spec);
}

std::string model_entry(const std::string& address, const std::string& layers_end)
{
    return entry(fmt::format(
        R"({{"service":"model","address":"{}","zone":"domain-1","slots":8,"state":"ready",)"
        R"("born":1,"kind":"card","layers":{{"from":0,"target":{}}}}})",
        address, layers_end));
}

} // namespace

TEST_CASE("an odd entry among those of the endpoints")
{
    // Guards against routers that end, or no longer follow the list, because of one entry that
    // another writer left there.
    std::string odd;
    SUBCASE("that is nested too deeply")
    {
        odd = entry(nested(1'000));
    }
    SUBCASE("that is nested so deeply that recursion would end the process")
    {
        odd = entry(nested(400'000));
    }
    SUBCASE("with a number that no type holds")
    {
        odd = entry(R"({"born":1e99999999999})");
    }
    SUBCASE("with a revision that no type holds")
    {
        odd = entry("{}", "99999999999999999999");
    }
    SUBCASE("with a port out of range")
    {
        odd = model_entry("127.0.0.1:99999", "12");
    }
    SUBCASE("with layers out of range")
    {
        odd = model_entry("127.0.0.1:9", "4000000000");
    }
    SUBCASE("that is no object")
    {
        odd = "7";
    }
    SUBCASE("that is no JSON")
    {
        odd = "{name}";
    }
    router_system system(4, 2);
    system.control({{"odd_entry", odd}});
    system.start_router("router-1");
    CHECK(wait_until([&] { return system.serves("router-1"); }));
    // Changes are followed, by a watch and by a listing.
    int count = 0;
    const auto answered_by_other = [&]
    {
        const auto request =
            router_system::make_request("GET", "/look/1", fmt::format("call-{}", ++count));
        const auto response = test_client(system.address("router-1")).send(request);
        return response.ok() && response->m_status == 200 &&
               find_field(response->m_fields, "Fulmaryard-Response-Signature") == "i-5";
    };
    system.control({{"drain", "i-4"}});
    CHECK(wait_until(answered_by_other, 3s));
    system.control({{"drop_history", true}});
    std::this_thread::sleep_for(2s);
    CHECK(system.serves("router-1"));
    CHECK(system.process("router-1").running());
}

TEST_SUITE_END();
