#ifndef FULMARYARD_READINESS_GATE_HPP
#define FULMARYARD_READINESS_GATE_HPP

#include <chrono>
#include <cstddef>
#include <optional>

namespace fulmaryard
{

/// Decides when a starting entry may report ready.
///
/// A load balancer sends requests as soon as an entry is ready, so the entry must know its
/// endpoints by then: before their first reports it would answer that no endpoint is live. Does no
/// I/O. Not thread-safe.
class readiness_gate
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Longest wait for the reports of listed endpoints. Covers a link handshake and a report;
    /// endpoints that take longer are probably gone.
    static constexpr std::chrono::milliseconds max_report_wait{2'000};

    /// Returns whether the entry is ready at `now`. `has_configuration` tells that a configuration
    /// is in force and another process or the platform has answered, `has_instance_list` that the
    /// endpoints are known; `unreported` of these have not reported yet. Without an instance list
    /// the entry waits for `max_report_wait`, in which running endpoints connect to it.
    bool
    ready(bool has_configuration, bool has_instance_list, std::size_t unreported, time_point now)
    {
        if (!has_configuration)
            return false;
        if (!m_configured_at)
            m_configured_at = now;
        return (has_instance_list && unreported == 0) || now - *m_configured_at >= max_report_wait;
    }

private:
    std::optional<time_point> m_configured_at;
};

} // namespace fulmaryard

#endif
