#include "load_generator.hpp"

#include "stream_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace fulmaryard::benchmark
{

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// Limits how long a run waits for open streams after the load ends.
constexpr std::chrono::seconds finish_timeout{10};

class generator
{
public:
    explicit generator(const load& applied)
        : m_load(applied),
          m_end(steady::now() + applied.m_duration),
          m_random(applied.m_seed)
    {
    }

    stream_outcomes run()
    {
        for (const auto& [account, count] : m_load.m_clients)
        {
            for (std::size_t i = 0; i < count; ++i)
                asio::co_spawn(asio::make_strand(m_io), client(account), asio::detached);
        }
        for (const auto& [account, rate] : m_load.m_arrivals)
            asio::co_spawn(asio::make_strand(m_io), arrivals(account, rate), asio::detached);
        std::thread second([this] { m_io.run(); });
        m_io.run();
        second.join();
        return std::move(m_outcomes);
    }

private:
    std::shared_ptr<stream_job> make_job(const std::string& account)
    {
        const std::lock_guard lock(m_mutex);
        auto job = std::make_shared<stream_job>();
        const std::size_t number = m_started++;
        for (std::size_t i = 0; i < m_load.m_addresses.size(); ++i)
        {
            job->m_addresses.push_back(
                m_load.m_addresses[(number + i) % m_load.m_addresses.size()]);
        }
        job->m_addresses.insert(
            job->m_addresses.end(), m_load.m_reconnect_addresses.begin(),
            m_load.m_reconnect_addresses.end());
        job->m_account = account;
        job->m_request_id = fmt::format("bench-{}-{}", m_load.m_seed, number);
        job->m_content = fmt::format("kit {} seed {}", number, m_load.m_seed);
        const std::uint32_t half = m_load.m_mean_tokens / 2;
        job->m_max_tokens =
            half + std::uniform_int_distribution<std::uint32_t>(0, 2 * half)(m_random);
        job->m_resumable = m_load.m_resumable;
        job->m_stop_at = m_load.m_finish_streams ? m_end + finish_timeout : m_end;
        return job;
    }

    void add_outcome(std::shared_ptr<const stream_outcome> outcome)
    {
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(std::move(outcome));
    }

    asio::awaitable<void> client(std::string account)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (steady::now() < m_end)
        {
            const auto outcome = std::make_shared<stream_outcome>();
            std::shared_ptr<const stream_job> job = make_job(account);
            co_await run_stream(job, outcome);
            add_outcome(outcome);
            if (outcome->m_result == stream_result::refused)
            {
                timer.expires_after(m_load.m_retry_pause);
                co_await timer.async_wait(use_tuple);
            }
        }
    }

    asio::awaitable<void> single(std::string account)
    {
        const auto outcome = std::make_shared<stream_outcome>();
        std::shared_ptr<const stream_job> job = make_job(account);
        co_await run_stream(job, outcome);
        add_outcome(outcome);
    }

    asio::awaitable<void> arrivals(std::string account, double rate)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        std::mt19937_64 random(m_load.m_seed + std::hash<std::string>()(account));
        std::exponential_distribution<double> gap(rate);
        auto next = steady::now();
        while (next < m_end)
        {
            next += std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(gap(random)));
            timer.expires_at(next);
            co_await timer.async_wait(use_tuple);
            asio::co_spawn(asio::make_strand(m_io), single(account), asio::detached);
        }
    }

    const load& m_load;
    steady::time_point m_end;
    asio::io_context m_io{2};
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::size_t m_started{0};
    stream_outcomes m_outcomes;
};

} // namespace

stream_outcomes run_load(const load& applied)
{
    return generator(applied).run();
}

} // namespace fulmaryard::benchmark
