#include "process/test_requests.hpp"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <map>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Maximum time until an accepted configuration is in force in every process.
constexpr seconds max_time_to_in_force{8};

class configured_system : public test_system
{
public:
    explicit configured_system(int entries = 2)
    {
        add_worker("worker");
        add_worker_side("side-1", "worker", "orders", "domain-1");
        add_worker_side("side-2", "worker", "orders", "domain-2");
        m_names = {"side-1", "side-2"};
        for (int i = 1; i <= entries; ++i)
        {
            m_names.push_back(fmt::format("entry-{}", i));
            add_entry(m_names.back(), fmt::format("domain-{}", i % 3 + 1));
        }
        REQUIRE(apply("entry-1", file({"shop"})) == 0);
        for (int i = 1; i <= entries; ++i)
            REQUIRE(wait_ready(fmt::format("entry-{}", i)).ok());
    }

    std::string file(const std::vector<std::string>& accounts) const
    {
        return make_configuration("kitwerk", accounts);
    }

    bool wait_in_force(std::uint64_t generation, milliseconds limit = max_time_to_in_force) const
    {
        return wait_until(
            limit,
            [&]
            {
                return std::all_of(
                    m_names.begin(), m_names.end(),
                    [&](const std::string& name)
                    { return generation_of(*this, name) >= generation; });
            });
    }

    // Starts `fulmaryard apply`. The name is used for its configuration and output files.
    child_process
    start_apply(const std::string& entry, const std::string& content, const std::string& name)
    {
        const std::string path = m_files.file(name + ".yaml");
        std::ofstream(path) << content;
        return {
            FULMARYARD_BINARY,
            {"apply", "--entry", control(entry), "--admin", "operator", "--key",
             m_administrator_secret, "--generation", "1", path},
            m_files.file(name)};
    }

    std::vector<std::string> m_names;

private:
    temporary_directory m_files;
};

} // namespace

TEST_SUITE_BEGIN("configuration");

TEST_CASE("two operators apply conflicting files at once")
{
    // Guards against a lost update: both operators see success, and one file is silently
    // overwritten.
    configured_system system;
    auto first = system.start_apply("entry-1", system.file({"shop", "first"}), "first");
    auto second = system.start_apply("entry-2", system.file({"shop", "second"}), "second");
    const auto first_code = first.wait(seconds(20));
    const auto second_code = second.wait(seconds(20));
    REQUIRE(first_code.ok());
    REQUIRE(second_code.ok());
    CAPTURE(first.errors());
    CAPTURE(second.errors());
    const bool first_won = *first_code == 0;
    CHECK((first_won ? *second_code : *first_code) == 4);
    CHECK((first_won ? *first_code : *second_code) == 0);
    const child_process& loser = first_won ? second : first;
    const std::string refusal = loser.output() + loser.errors();
    CHECK(refusal.find("first") != std::string::npos);
    CHECK(refusal.find("second") != std::string::npos);
    for (const std::string& name : system.m_names)
        CHECK(generation_of(system, name) == 2);
}

TEST_CASE("the platform's answer to an apply is lost")
{
    // Guards against an apply that is accepted twice, or is reported as failed although its
    // configuration is in force.
    configured_system system;
    system.inject(
        "platform", R"({"kind":"lose_answer","match":"/objects/configuration/current","count":1})");
    CHECK(system.apply("entry-1", system.file({"shop", "second"})) == 0);
    CHECK(system.wait_in_force(2));
    for (const std::string& name : system.m_names)
        CHECK(generation_of(system, name) == 2);
}

TEST_CASE("a process restarts while the platform is down")
{
    // Guards against a process that, restarted during a platform outage, serves without a
    // configuration or never becomes ready.
    configured_system system;
    REQUIRE(system.apply("entry-1", system.file({"shop", "second"})) == 0);
    system.inject("platform", R"({"kind":"outage"})");
    for (const std::string name : {"entry-2", "side-1"})
    {
        system.restart(name);
        CAPTURE(name);
        CHECK(wait_until(max_time_to_in_force, [&] { return generation_of(system, name) == 2; }));
    }
    CHECK(system.wait_ready("entry-2").ok());
}

TEST_CASE("a process is paused during an apply")
{
    configured_system system;
    std::string name;
    SUBCASE("an entry")
    {
        name = "entry-2";
    }
    SUBCASE("a side process")
    {
        name = "side-2";
    }
    system.pause(name);
    std::thread apply_thread([&] { system.apply("entry-1", system.file({"shop", "second"})); });
    CHECK(wait_until(max_time_to_in_force, [&] { return generation_of(system, "side-1") == 2; }));
    const auto ended = system.process("side-1").wait(milliseconds(0));
    CHECK_MESSAGE(!ended.ok(), "side-1 ended with ", ended.value_or(0));
    system.resume(name);
    CHECK(wait_until(max_time_to_in_force, [&] { return generation_of(system, name) == 2; }));
    apply_thread.join();
}

TEST_CASE("stale reads and restarts never bring an earlier generation back")
{
    // Guards against a process that adopts an older generation from a stale read. An entry that is
    // not ready serves no requests, so generations are checked only in ready processes.
    configured_system system;
    constexpr std::uint64_t generations = 5;
    std::map<std::string, std::uint64_t> highest_generations;
    const auto check = [&]
    {
        for (const std::string& name : system.m_names)
        {
            const auto ready = test_client(system.control(name)).get("/readyz", seconds(1));
            if (!ready.ok() || ready->m_status != 200)
                continue;
            const std::uint64_t generation = generation_of(system, name);
            CAPTURE(name);
            CHECK(generation >= highest_generations[name]);
            highest_generations[name] = std::max(highest_generations[name], generation);
        }
    };
    for (std::uint64_t generation = 2; generation <= generations; ++generation)
    {
        CHECK(system.apply("entry-1", system.file({"shop", fmt::format("g{}", generation)})) == 0);
        CHECK(system.wait_in_force(generation));
        check();
        system.inject(
            "platform", R"({"kind":"stale_reads","match":"/objects/configuration","ms":1500})");
        const std::string name = system.m_names[generation % system.m_names.size()];
        system.restart(name);
        // Keeps checking until the stale reads, which last 1500 ms, have ended.
        const auto end = std::chrono::steady_clock::now() + milliseconds(2000);
        wait_until(
            milliseconds(2000),
            [&]
            {
                check();
                return std::chrono::steady_clock::now() >= end;
            });
        CAPTURE(name);
        CHECK(system.wait_in_force(generation));
    }
}

TEST_CASE("a configuration is in force in time, and pending watches do not grow with the entries")
{
    // Guards against platform load that grows with the number of entries, and against a
    // configuration that takes too long to be in force.
    std::size_t pending = 0;
    for (const int entries : {2, 6})
    {
        configured_system system(entries);
        const auto begin = std::chrono::steady_clock::now();
        CHECK(system.apply("entry-1", system.file({"shop", "second"})) == 0);
        CHECK(system.wait_in_force(2));
        const auto time = std::chrono::steady_clock::now() - begin;
        CHECK(time < max_time_to_in_force);
        const auto watches = [&]
        {
            const auto calls = system.client("platform").get_json("/calls");
            return calls.at("pending_watches").to_number<std::size_t>();
        };
        if (entries == 2)
            pending = watches();
        // An entry that has just started reads the configuration itself once; its last watch ends
        // after some seconds.
        const bool bounded = wait_until(seconds(12), [&] { return watches() <= pending; });
        MESSAGE(fmt::format(
            "{} entries: in force after {} ms, {} pending watches", entries,
            std::chrono::duration_cast<milliseconds>(time).count(), watches()));
        CHECK(bounded);
    }
}

TEST_SUITE_END();
