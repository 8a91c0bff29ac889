#include "slope_fit.hpp"

#include <fmt/core.h>

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <numeric>

namespace fulmaryard::benchmark
{

void slope_fit::add(double size, double cost)
{
    m_sizes.push_back(size);
    m_costs.push_back(cost);
}

double slope_fit::slope() const
{
    const auto count = static_cast<double>(m_sizes.size());
    const double mean_size = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0) / count;
    const double mean_cost = std::accumulate(m_costs.begin(), m_costs.end(), 0.0) / count;
    double covariance = 0;
    double variance = 0;
    for (std::size_t at = 0; at < m_sizes.size(); ++at)
    {
        covariance += (m_sizes[at] - mean_size) * (m_costs[at] - mean_cost);
        variance += (m_sizes[at] - mean_size) * (m_sizes[at] - mean_size);
    }
    return covariance / variance;
}

void slope_fit::print(std::string_view name, std::string_view unit, double scale) const
{
    print_value(name, slope() * scale, unit);
}

void print_value(std::string_view name, double value, std::string_view unit)
{
    fmt::print("{} {:.6g} {}\n", name, value, unit);
    std::fflush(stdout);
}

double thread_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

double allocated_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace fulmaryard::benchmark
