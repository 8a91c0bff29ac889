#ifndef FULMARYARD_METRIC_HISTOGRAM_HPP
#define FULMARYARD_METRIC_HISTOGRAM_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// A distribution of durations on Boost.Histogram with thread-safe cells. Thread-safe.
class metric_histogram
{
public:
    metric_histogram();
    ~metric_histogram();

    void record(std::chrono::nanoseconds duration);

    /// Returns the upper bound of the bucket that holds quantile `q` in [0, 1], in seconds; 0
    /// when nothing was recorded.
    double quantile(double q) const;

    std::uint64_t count() const;

    /// Appends the buckets, sum and count in the Prometheus text format.
    void expose(std::string& text, std::string_view name, std::string_view labels) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
