#ifndef FULMARYARD_STREAM_OUTCOME_HPP
#define FULMARYARD_STREAM_OUTCOME_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fulmaryard::benchmark
{

/// How a stream ended, as seen by the caller.
enum class stream_result
{
    completed,
    refused, ///< No connection or a status other than 200 before the first event.
    lost,    ///< Accepted, but neither completed nor stopped by the caller.
    stopped, ///< The caller stopped reading.
};

/// Result of one stream, as seen by the caller.
struct stream_outcome
{
    stream_result m_result{stream_result::refused};
    std::string m_account;
    std::string m_content;
    std::uint32_t m_max_tokens{0};
    std::string m_text;
    std::string m_error; ///< Reason why the stream was refused or lost.
    std::string m_last_id;
    std::chrono::steady_clock::time_point m_started;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals; ///< Arrival time of each token.
    /// Plans named in the event ids, each with the number of tokens received before it.
    std::vector<std::pair<std::size_t, std::string>> m_plans;
    std::uint32_t m_repeated_tokens{0}; ///< Tokens that the caller received more than once.
    std::uint32_t m_reconnections{0};
};

} // namespace fulmaryard::benchmark

#endif
