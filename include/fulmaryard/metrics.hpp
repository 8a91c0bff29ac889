#ifndef FULMARYARD_METRICS_HPP
#define FULMARYARD_METRICS_HPP

#include <memory>
#include <string>
#include <string_view>

namespace fulmaryard
{

class metric_counter;
class metric_histogram;

/// Registry of the metrics of one process, served at `/metrics` in the Prometheus text format.
/// References to metrics stay valid for the lifetime of the registry. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Returns the counter with this name and label set, creating it on first use. `labels` is
    /// written verbatim, for example `outcome="not-run"`. The lookup takes a lock and may allocate,
    /// so keep the reference instead of looking it up for each event.
    metric_counter& counter(std::string_view name, std::string_view labels = "");

    /// Returns the histogram with this name and label set, creating it on first use. The name
    /// includes the unit, for example `fulmaryard_first_token_seconds`. The bucket bounds range
    /// from 0.1 ms to 100 s.
    metric_histogram& histogram(std::string_view name, std::string_view labels = "");

    /// Returns all metrics in the Prometheus text format.
    std::string expose() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
