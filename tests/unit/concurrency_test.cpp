#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/hello.hpp>
#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/metrics.hpp>
#include <fulmaryard/snapshot.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

using namespace fulmaryard;

// Exercises shared objects from several threads. The thread sanitizer reports data races; the
// checks detect torn reads, lost updates and values that revert to older ones.

namespace
{

constexpr int thread_count = 4;
constexpr int iterations = 2000;

void run_on_threads(const std::function<void(int thread)>& work)
{
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i)
        threads.emplace_back(work, i);
    for (auto& thread : threads)
        thread.join();
}

struct pair_of_numbers
{
    int m_first{0};
    int m_second{0};
};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("snapshot readers see consistent values that never revert")
{
    snapshot<pair_of_numbers> published(std::make_shared<const pair_of_numbers>());
    std::atomic<int> violations{0};
    run_on_threads(
        [&](int thread)
        {
            snapshot<pair_of_numbers>::reader reader(published);
            int last = 0;
            for (int i = 1; i <= iterations; ++i)
            {
                if (thread == 0)
                    published.publish(
                        std::make_shared<const pair_of_numbers>(pair_of_numbers{i, -i}));
                const auto value = reader.get();
                if (value->m_first != -value->m_second || value->m_first < last)
                    ++violations;
                last = value->m_first;
            }
        });
    CHECK(violations == 0);
    CHECK(published.load()->m_first == iterations);
}

TEST_CASE("metrics lose no events under concurrent updates")
{
    metrics registry;
    run_on_threads(
        [&](int)
        {
            auto& counter = registry.counter("events_total");
            auto& histogram = registry.histogram("duration_seconds");
            for (int i = 0; i < iterations; ++i)
            {
                counter.add();
                histogram.record(std::chrono::milliseconds(1 + i % 10));
                if (i % 500 == 0)
                    CHECK(!registry.expose().empty());
            }
        });
    CHECK(registry.counter("events_total").value() == thread_count * iterations);
    CHECK(registry.histogram("duration_seconds").count() == thread_count * iterations);
}

TEST_CASE("the endpoint directory accepts concurrent reports, link events and reads")
{
    endpoint_directory directory;
    run_on_threads(
        [&](int thread)
        {
            const std::string address = "127.0.0.1:" + std::to_string(1000 + thread);
            const hello peer{"side-" + std::to_string(thread), "side", address, 1};
            for (int i = 0; i < iterations / 10; ++i)
            {
                directory.on_peer_hello(peer);
                directory.on_peer_up(peer);
                load_report report;
                report.m_process = peer.m_process;
                report.m_address = address;
                report.m_engine_up = true;
                directory.on_load_report(report);
                directory.publish_load();
                const auto view = directory.published().load();
                const endpoint* known = view->find(address);
                if (known)
                    known->m_counters->m_outstanding.fetch_add(1);
            }
        });
    CHECK(directory.published().load()->m_endpoints.size() == thread_count);
    CHECK(directory.live_count() == thread_count);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("configuration");

TEST_CASE("concurrent offers never decrease the generation that a reader sees")
{
    configuration_state state;
    std::atomic<int> violations{0};
    run_on_threads(
        [&](int thread)
        {
            snapshot<configuration>::reader reader(state.published());
            std::uint64_t last = 0;
            for (int i = 1; i <= iterations; ++i)
            {
                auto offered = std::make_shared<configuration>();
                // Mixes late and duplicate deliveries with new ones.
                const auto round = static_cast<std::uint64_t>(i);
                offered->m_generation = round + 7 - (round + static_cast<unsigned>(thread)) % 7;
                state.offer(std::move(offered));
                const std::uint64_t seen = reader.get()->m_generation;
                if (seen < last)
                    ++violations;
                last = seen;
            }
        });
    CHECK(violations == 0);
    CHECK(state.generation() == iterations + 7);
}

TEST_SUITE_END();
