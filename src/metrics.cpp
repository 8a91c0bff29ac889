#include <fulmaryard/metric_counter.hpp>
#include <fulmaryard/metric_histogram.hpp>
#include <fulmaryard/metrics.hpp>

#include <boost/histogram.hpp>

#include <fmt/format.h>

#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace fulmaryard
{

namespace histogram = boost::histogram;

namespace
{

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using storage = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;
using duration_histogram =
    decltype(histogram::make_histogram_with(storage(), log_axis(1, 1.0, 2.0)));

// 60 logarithmic buckets over six decades: each bound is 10^(1/10) = 1.26 times the previous one.
constexpr unsigned bucket_count = 60;
constexpr double min_bound_seconds = 1e-4;
constexpr double max_bound_seconds = 1e2;

} // namespace

struct metric_histogram::state
{
    duration_histogram m_buckets{histogram::make_histogram_with(
        storage(), log_axis(bucket_count, min_bound_seconds, max_bound_seconds))};
    metric_counter m_sum_ns;

    std::uint64_t bucket_value(int index) const { return m_buckets.at(index).value(); }

    double upper_bound(int index) const
    {
        return index < 0 ? min_bound_seconds : m_buckets.axis().value(index + 1);
    }
};

metric_histogram::metric_histogram() : m_state(std::make_unique<state>()) {}

metric_histogram::~metric_histogram() = default;

void metric_histogram::record(std::chrono::nanoseconds duration)
{
    m_state->m_buckets(std::chrono::duration<double>(duration).count());
    m_state->m_sum_ns.add(static_cast<std::uint64_t>(duration.count()));
}

std::uint64_t metric_histogram::count() const
{
    std::uint64_t total = 0;
    for (int i = -1; i <= static_cast<int>(bucket_count); ++i)
        total += m_state->bucket_value(i);
    return total;
}

double metric_histogram::quantile(double q) const
{
    const std::uint64_t total = count();
    if (total == 0)
        return 0;
    const double rank = q * static_cast<double>(total);
    std::uint64_t cumulative_count = 0;
    for (int i = -1; i < static_cast<int>(bucket_count); ++i)
    {
        cumulative_count += m_state->bucket_value(i);
        if (static_cast<double>(cumulative_count) >= rank)
            return m_state->upper_bound(i);
    }
    return max_bound_seconds;
}

void metric_histogram::expose(
    std::string& text, std::string_view name, std::string_view labels) const
{
    const auto out = std::back_inserter(text);
    const std::string_view separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative_count = 0;
    for (int i = -1; i < static_cast<int>(bucket_count); ++i)
    {
        cumulative_count += m_state->bucket_value(i);
        fmt::format_to(
            out, "{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, separator,
            m_state->upper_bound(i), cumulative_count);
    }
    cumulative_count += m_state->bucket_value(static_cast<int>(bucket_count));
    fmt::format_to(
        out, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, cumulative_count);
    const double sum = static_cast<double>(m_state->m_sum_ns.value()) * 1e-9;
    fmt::format_to(
        out, "{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name, labels, sum, name, labels,
        cumulative_count);
}

struct metrics::state
{
    using key = std::pair<std::string, std::string>; ///< Name and labels.

    mutable std::mutex m_mutex;
    std::map<key, std::unique_ptr<metric_counter>> m_counters;
    std::map<key, std::unique_ptr<metric_histogram>> m_histograms;
};

metrics::metrics() : m_state(std::make_unique<state>()) {}

metrics::~metrics() = default;

metric_counter& metrics::counter(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(m_state->m_mutex);
    auto& slot = m_state->m_counters[{std::string(name), std::string(labels)}];
    if (!slot)
        slot = std::make_unique<metric_counter>();
    return *slot;
}

metric_histogram& metrics::histogram(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(m_state->m_mutex);
    auto& slot = m_state->m_histograms[{std::string(name), std::string(labels)}];
    if (!slot)
        slot = std::make_unique<metric_histogram>();
    return *slot;
}

std::string metrics::expose() const
{
    const std::lock_guard lock(m_state->m_mutex);
    std::string text;
    std::string_view previous;
    for (const auto& [key, counter] : m_state->m_counters)
    {
        if (key.first != previous)
            fmt::format_to(std::back_inserter(text), "# TYPE {} counter\n", key.first);
        previous = key.first;
        fmt::format_to(
            std::back_inserter(text), "{}{{{}}} {}\n", key.first, key.second, counter->value());
    }
    for (const auto& [key, cells] : m_state->m_histograms)
    {
        if (key.first != previous)
            fmt::format_to(std::back_inserter(text), "# TYPE {} histogram\n", key.first);
        previous = key.first;
        cells->expose(text, key.first, key.second);
    }
    return text;
}

} // namespace fulmaryard
