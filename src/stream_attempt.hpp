#ifndef FULMARYARD_STREAM_ATTEMPT_HPP
#define FULMARYARD_STREAM_ATTEMPT_HPP

#include <fulmaryard/answer_share.hpp>
#include <fulmaryard/endpoint_channel.hpp>
#include <fulmaryard/endpoint_run.hpp>
#include <fulmaryard/path_hop.hpp>
#include <fulmaryard/prompt_quarantine.hpp>

#include <chrono>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// State of one attempt of a stream session: the path that it occupies and the connection to the
/// first endpoint of that path. Two attempts may run at the same time.
struct stream_attempt
{
    enum class outcome
    {
        complete,     ///< The complete response was relayed to the caller.
        not_run,      ///< Refused before execution.
        unreachable,  ///< The connection failed; nothing was sent.
        broken,       ///< Sent, but ended before the response was complete.
        error_relayed ///< The endpoint's error response was relayed to the caller.
    };

    explicit stream_attempt(answer_memory& memory) : m_share(memory) {}

    /// Ends the attempt soon, since it is not needed any more.
    void close()
    {
        m_closed = true;
        if (m_channel != nullptr)
            m_channel->close();
    }

    bool running() const { return !m_closed && !m_outcome; }

    std::uint32_t m_number{0}; ///< From 1 in the order of the session's attempts.
    std::chrono::steady_clock::time_point m_start;
    std::vector<path_hop> m_path;
    std::vector<path_hop> m_prefilling; ///< Endpoints of the path that have not finished prefill.
    double m_prefill_tokens{0};         ///< Tokens that each of them has to prefill.
    endpoint_run m_run;                 ///< The first endpoint of the path.
    std::unique_ptr<endpoint_channel> m_channel;
    answer_share m_share;         ///< For what is not passed on yet.
    std::uint64_t m_events{0};    ///< Events relayed.
    bool m_answer_began{false};   ///< The answer is a success so far.
    bool m_answer_read{false};    ///< The answer was read to its end and relayed.
    bool m_answer_counted{false}; ///< Counted as an answer to the shared parts of the prompt.
    /// What its first endpoint crashed under; empty if it did not.
    prompt_quarantine::part_list m_crash_causes;
    bool m_is_hedge{false}; ///< Sent because the first event of another attempt is late.
    bool m_closed{false};
    std::optional<outcome> m_outcome; ///< Set once the attempt has ended.
    std::exception_ptr m_failure;     ///< Set with the outcome if an exception ended it.
};

/// The hops of a path as "ADDRESS=BEGIN-END,...", for log lines.
std::string describe(const std::vector<path_hop>& path);

} // namespace fulmaryard

#endif
