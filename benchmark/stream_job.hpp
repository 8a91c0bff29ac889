#ifndef FULMARYARD_STREAM_JOB_HPP
#define FULMARYARD_STREAM_JOB_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard::benchmark
{

/// Parameters of one streaming chat completion request.
struct stream_job
{
    std::vector<std::string> m_addresses; ///< Entry addresses; each reconnection uses the next.
    std::string m_account;
    std::string m_request_id;
    std::string m_content;
    std::uint32_t m_max_tokens{0};
    bool m_resumable{false}; ///< Reconnect with the last event id after a disconnect.
    std::chrono::steady_clock::time_point m_stop_at; ///< Time to stop reading and disconnect.
};

} // namespace fulmaryard::benchmark

#endif
