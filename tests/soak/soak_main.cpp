// Runs routers and a stand-in of the platform as separate processes, injects faults drawn at random
// from a seed, and checks the guarantees given to callers and endpoints.
//
// `--seed N` selects the seed, `--seconds N` sets how long callers send requests, `--defect NAME`
// makes the stand-in violate a guarantee, `--logs DIRECTORY` receives the logs of a failed run.
// Exit code 0: no violation; 1: at least one, or the system did not start; 2: invalid options.

#include "soak/soak_callers.hpp"
#include "soak/soak_checks.hpp"
#include "soak/soak_system.hpp"
#include "standins/standin_options.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <thread>

using namespace fulmaryard;
using namespace fulmaryard::soak;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t routers = 3;
constexpr auto start_limit = 20s;

// Documented bound on the time from the loss of all routers until requests are served.
constexpr auto recovery_limit = 12s;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Injects the faults of a plan at their times. Skips a fault whose target still has an active
/// fault of the same kind, or, for faults of a router process, any active fault of that process.
class fault_injector
{
public:
    fault_injector(soak_system& system, const soak_plan& plan) : m_system(system), m_plan(plan) {}

    /// Returns the injected faults with their actual times, after all of them have ended.
    std::vector<fault> run()
    {
        const auto start = std::chrono::steady_clock::now();
        const auto now = [start]
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
        };
        std::size_t next = 0;
        while (next < m_plan.m_faults.size() || !m_active.empty())
        {
            for (; next < m_plan.m_faults.size() && m_plan.m_faults[next].m_at <= now(); ++next)
                begin(m_plan.m_faults[next], now());
            for (std::size_t i = 0; i < m_active.size();)
            {
                auto& one = m_injected_faults[m_active[i]];
                if (one.m_at + one.m_for > now())
                {
                    ++i;
                    continue;
                }
                if (!m_system.end(one))
                {
                    ++i;
                    continue;
                }
                one.m_for = now() - one.m_at;
                m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(i));
            }
            record_downtime(now());
            std::this_thread::sleep_for(10ms);
        }
        while (!m_down_since.empty())
        {
            record_downtime(now());
            std::this_thread::sleep_for(10ms);
        }
        return m_injected_faults;
    }

    std::vector<router_downtime> take_downtime() { return std::move(m_down); }

private:
    void record_downtime(std::chrono::milliseconds now)
    {
        for (std::size_t router = 0; router < routers; ++router)
        {
            const auto since = m_down_since.find(router);
            if (since == m_down_since.end())
            {
                if (!m_system.router_runs(router))
                    m_down_since[router] = now;
            }
            else if (m_system.router_runs(router) && m_system.router_listens(router))
            {
                m_down.push_back({router, since->second, now});
                m_down_since.erase(since);
            }
        }
    }

    void begin(fault one, std::chrono::milliseconds now)
    {
        const auto router_process = [](fault_kind kind)
        {
            return kind == fault_kind::router_killed || kind == fault_kind::router_stopped ||
                   kind == fault_kind::router_paused;
        };
        const bool busy = std::any_of(
            m_active.begin(), m_active.end(),
            [&](std::size_t index)
            {
                const auto& other = m_injected_faults[index];
                return other.m_target == one.m_target &&
                       (other.m_kind == one.m_kind ||
                        (router_process(other.m_kind) && router_process(one.m_kind)));
            });
        if (busy)
            return;
        one.m_at = now;
        m_system.begin(one);
        m_active.push_back(m_injected_faults.size());
        m_injected_faults.push_back(one);
    }

    soak_system& m_system;
    const soak_plan& m_plan;
    std::vector<fault> m_injected_faults;
    std::vector<std::size_t> m_active; ///< Indexes into m_injected_faults.
    std::map<std::size_t, std::chrono::milliseconds> m_down_since;
    std::vector<router_downtime> m_down;
};

int play(
    std::uint64_t seed, std::chrono::milliseconds duration, const std::string& defect,
    const std::string& logs)
{
    fmt::print("seed {}\n", seed);
    std::fflush(stdout);
    soak_system system(routers);
    if (!system.wait_until_serving(start_limit))
    {
        fmt::print("the system did not serve requests before the first fault\n");
        system.copy_logs(logs);
        return 1;
    }
    if (!defect.empty())
        system.set_defect(defect);
    soak_record record;
    record.m_plan = make_plan(seed, duration, routers, soak_system::m_endpoints);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < routers; ++i)
        addresses.push_back(system.callers_address(i));
    soak_callers callers(addresses, seed, duration);
    const auto start_ms = unix_ms();
    std::thread faults(
        [&]
        {
            fault_injector player(system, record.m_plan);
            record.m_injected_faults = player.run();
            record.m_down = player.take_downtime();
        });
    callers.run();
    faults.join();
    system.read_journal(record, start_ms);
    record.m_requests = callers.take_requests();
    if (!defect.empty())
        system.set_defect("");
    system.restart_all_routers();
    record.m_recovered = system.wait_until_serving(recovery_limit);
    for (const auto& one : record.m_injected_faults)
    {
        fmt::print(
            "fault {} target {} from {} to {} ms\n", to_string(one.m_kind), one.m_target,
            one.m_at.count(), (one.m_at + one.m_for).count());
    }
    const auto served = std::count_if(
        record.m_requests.begin(), record.m_requests.end(),
        [](const auto& request) { return request.m_status == 200 && request.m_complete; });
    fmt::print("requests {} served {}\n", record.m_requests.size(), served);
    int broken = 0;
    for (const auto& result : check_guarantees(record))
    {
        fmt::print(
            "check {} saw {} broken {}\n", result.m_check, result.m_checked_count,
            result.m_violations.size());
        for (const auto& one : result.m_violations)
            fmt::print("BROKEN {}: {}\n", one.m_check, one.m_detail);
        broken += static_cast<int>(result.m_violations.size());
    }
    if (broken > 0)
    {
        system.copy_logs(logs);
        fmt::print("logs are in {}\n", logs);
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 8;
    std::string defect;
    std::string logs = "soak-logs";
    if (!standins::read_options(
            argc, argv,
            {{"seed", &seed}, {"seconds", &seconds}, {"defect", &defect}, {"logs", &logs}}))
        return 2;
    return play(seed, std::chrono::seconds(seconds), defect, logs);
}
