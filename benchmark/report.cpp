#include "report.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace fulmaryard::benchmark
{

void report::add(const std::string& name, double value, const std::string& unit)
{
    fmt::print("{} {:.4g} {}\n", name, value, unit);
    std::fflush(stdout);
}

void report::add_with_target(
    const std::string& name, double value, const std::string& unit, const std::string& target,
    bool met, const std::string& cause)
{
    add(name, value, unit);
    const std::string text = fmt::format("{} is {:.4g} {}, target {}", name, value, unit, target);
    if (met)
        m_met.push_back(text);
    else
        m_missed.push_back(cause.empty() ? text : text + ": " + cause);
}

void report::at_least(
    const std::string& name, double value, const std::string& unit, double target,
    const std::string& cause)
{
    add_with_target(name, value, unit, fmt::format("at least {}", target), value >= target, cause);
}

void report::at_most(
    const std::string& name, double value, const std::string& unit, double target,
    const std::string& cause)
{
    add_with_target(name, value, unit, fmt::format("at most {}", target), value <= target, cause);
}

void report::missing(const std::string& name, const std::string& reason)
{
    m_missed.push_back(name + " was not measured: " + reason);
}

bool report::conclude() const
{
    fmt::print("\nconclusion: {} targets met, {} missed\n", m_met.size(), m_missed.size());
    for (const auto& each : m_met)
        fmt::print("  met: {}\n", each);
    for (const auto& each : m_missed)
        fmt::print("  missed: {}\n", each);
    return m_missed.empty();
}

} // namespace fulmaryard::benchmark
