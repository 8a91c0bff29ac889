#ifndef FULMARYARD_METRICS_HPP
#define FULMARYARD_METRICS_HPP

#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

class metric_counter;
class metric_histogram;

/// The metrics of one process, shown at `/metrics` in the Prometheus text format. Thread-safe.
/// Metrics live as long as the registry.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Returns the counter of this name and label set, making it on first use. `labels` is
    /// written as is, for example `outcome="not-run"`. Look it up once, not per event.
    metric_counter& counter(std::string_view name, std::string_view labels = "");

    /// Returns the histogram of this name; the unit is part of the name, for example
    /// `fulmaryard_first_token_seconds`. Bounds run from 0.1 ms to 100 s.
    metric_histogram& histogram(std::string_view name, std::string_view labels = "");

    /// All metrics as Prometheus text.
    std::string expose() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
