#ifndef FULMARYARD_RUN_HISTORY_HPP
#define FULMARYARD_RUN_HISTORY_HPP

#include <fulmaryard/endpoint_run.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace fulmaryard
{

/// The endpoints to which one request was sent, and whether it may have run there.
///
/// The owner of two questions: on how many endpoints has the request run, and may its caller be
/// told that it has not. Only what proves that a run has ended takes it out of the count; silence,
/// an entry that was removed and a connection that broke do not. Does no I/O. Not thread-safe.
class run_history
{
public:
    /// The request is about to be sent to `run`.
    void on_sent(const endpoint_run& run);

    /// `run` states that it did not execute the last request that was sent to it. `counts` tells
    /// whether that send still counts toward the limit of the route.
    void on_refused(const endpoint_run& run, bool counts);

    /// `run` is known to have ended, so it does not count any more.
    void on_ended(const endpoint_run& run);

    /// Number of endpoints that count toward the limit of the route.
    std::uint32_t count() const;

    /// The same if the request were also sent to `run`.
    std::uint32_t count_with(const endpoint_run& run) const;

    /// Whether an endpoint may have begun to execute the request, one that has ended included.
    bool may_have_run() const;

    /// The runs that count, for which a proof of their end makes a difference.
    std::vector<endpoint_run> counted() const;

private:
    struct send_counts
    {
        std::uint32_t m_sent{0};
        std::uint32_t m_refused{0};
        bool m_refusal_counts{false};
        bool m_ended{false};

        bool may_have_run() const { return m_sent > m_refused; }
        bool counts() const { return !m_ended && (may_have_run() || m_refusal_counts); }
    };

    std::map<endpoint_run, send_counts> m_sends;
};

} // namespace fulmaryard

#endif
