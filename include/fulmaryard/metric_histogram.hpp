#ifndef FULMARYARD_METRIC_HISTOGRAM_HPP
#define FULMARYARD_METRIC_HISTOGRAM_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Histogram of durations, based on Boost.Histogram with atomic buckets. Thread-safe.
class metric_histogram
{
public:
    metric_histogram();
    ~metric_histogram();

    void record(std::chrono::nanoseconds duration);

    /// Returns the upper bound in seconds of the bucket that contains quantile `q`, where `q` is in
    /// [0, 1]; 100 s for durations above all bounds, 0 if nothing was recorded.
    double quantile(double q) const;

    /// Number of recorded durations.
    std::uint64_t count() const;

    /// Appends the buckets, sum and count in the Prometheus text format.
    void expose(std::string& text, std::string_view name, std::string_view labels) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
