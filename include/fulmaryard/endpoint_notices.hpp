#ifndef FULMARYARD_ENDPOINT_NOTICES_HPP
#define FULMARYARD_ENDPOINT_NOTICES_HPP

#include <fulmaryard/endpoint_notice.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fulmaryard
{

/// What endpoints have said of themselves in their answers to this process.
///
/// A notice belongs to the endpoint that answered, whatever it answered to, and to the run that
/// answered: one that starts anew may get work again. Does no I/O. Not thread-safe.
class endpoint_notices
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A longer time is taken for an error of the endpoint.
    static constexpr std::chrono::milliseconds max_no_work{3'600'000};

    /// An endpoint that has said that it leaves, and has not answered for this long, is gone.
    static constexpr std::chrono::milliseconds leaving_lifetime{600'000};

    /// Records what the run of an endpoint that began at `started_ms` said. Returns true if that is
    /// new.
    bool on_notice(
        const std::string& id, std::uint64_t started_ms, const endpoint_notice& notice,
        time_point now);

    bool leaving(const std::string& id, std::uint64_t started_ms) const;

    /// Until when the endpoint wants no requests; nullopt if it may get some at `now`.
    std::optional<time_point>
    no_work_until(const std::string& id, std::uint64_t started_ms, time_point now) const;

    /// Forgets what no longer counts. To be called now and then.
    void on_tick(time_point now);

private:
    struct said
    {
        std::uint64_t m_started_ms{0};
        bool m_leaving{false};
        time_point m_no_work_until;
        time_point m_time; ///< Of the last notice.
    };

    std::map<std::string, said> m_endpoints;
};

} // namespace fulmaryard

#endif
