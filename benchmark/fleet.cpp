#include "fleet.hpp"

#include "standins/reference_model.hpp"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <stdexcept>
#include <thread>

namespace fulmaryard::benchmark
{

namespace
{

std::string process_name(const char* kind, std::size_t range, std::size_t index)
{
    return fmt::format("{}-{}-{}", kind, range, index);
}

} // namespace

std::string fleet::engine(std::size_t range, std::size_t index)
{
    return process_name("engine", range, index);
}

std::string fleet::side(std::size_t range, std::size_t index)
{
    return process_name("side", range, index);
}

std::string fleet::relay(std::size_t range, std::size_t index)
{
    return process_name("relay", range, index);
}

fleet::fleet(const fleet_options& options)
{
    const std::uint32_t width = fleet_options::m_layers / fleet_options::m_ranges;
    for (std::size_t range = 0; range < fleet_options::m_ranges; ++range)
    {
        const auto first = static_cast<std::uint32_t>(range) * width;
        for (std::size_t index = 0; index < options.m_step_time_us.size(); ++index)
        {
            m_system.add_engine(
                engine(range, index), {first, first + width}, fleet_options::m_layers,
                {"--step-time-us", std::to_string(options.m_step_time_us[index]), "--batch-limit",
                 std::to_string(options.m_batch_limit)});
            if (options.m_relays)
                m_system.add_relay(relay(range, index), engine(range, index));
            m_system.add_engine_side(
                side(range, index), options.m_relays ? relay(range, index) : engine(range, index),
                fmt::format("domain-{}", index + 1), "log_level: warning\n");
        }
    }
    for (std::size_t i = 1; i <= options.m_entries; ++i)
    {
        const std::string name = fmt::format("entry-{}", i);
        m_system.add_entry(
            name, fmt::format("domain-{}", i), "log_level: warning\n" + options.m_entry_settings);
        m_addresses.push_back(m_system.address(name));
    }
    // Raises the account limits so that the engines limit the load.
    const std::string file = absl::StrReplaceAll(
        m_system.make_configuration("bench", {"large", "small-1", "small-2", "small-3"}),
        {{"requests_per_second: 1000", "requests_per_second: 100000"},
         {"tokens_per_second: 1000000", "tokens_per_second: 10000000"},
         {"max_streams: 1000", "max_streams: 100000"}});
    if (m_system.apply("entry-1", file) != 0)
        throw std::runtime_error("cannot apply the benchmark configuration");
    for (std::size_t i = 1; i <= options.m_entries; ++i)
    {
        if (!m_system.wait_ready(fmt::format("entry-{}", i)).ok())
            throw std::runtime_error("an entry did not become ready");
    }
    // Waits for load reports with step times, which arrive within one report interval.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

double fleet::engine_seconds() const
{
    double sum = 0;
    for (std::size_t range = 0; range < fleet_options::m_ranges; ++range)
    {
        for (std::size_t index = 0; index < 2; ++index)
        {
            const auto response = m_system.client(side(range, index)).get("/metrics");
            const std::string name = "fulmaryard_side_run_seconds_sum{} ";
            const auto place = response.ok() ? response->m_body.find(name) : std::string::npos;
            if (place == std::string::npos)
                return std::numeric_limits<double>::quiet_NaN();
            sum += std::strtod(response->m_body.c_str() + place + name.size(), nullptr);
        }
    }
    return sum;
}

void fleet::wait_for_side(const std::string& name)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < end)
    {
        const auto response = m_system.client(name).get("/readyz", std::chrono::seconds(1));
        if (response.ok() && response->m_status == 200)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // The entries reconnect with a backoff of up to 1 s.
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
}

bool is_correct(const stream_outcome& outcome)
{
    return outcome.m_result == stream_result::completed &&
           outcome.m_text == standins::compute_reference(
                                 process_tests::test_system::chat_prompt(outcome.m_content),
                                 fleet_options::m_layers, outcome.m_max_tokens)
                                 .m_text;
}

std::size_t count_wrong(const stream_outcomes& outcomes)
{
    return static_cast<std::size_t>(std::count_if(
        outcomes.begin(), outcomes.end(),
        [](const auto& each)
        { return each->m_result == stream_result::completed && !is_correct(*each); }));
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return std::numeric_limits<double>::quiet_NaN();
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace fulmaryard::benchmark
