#ifndef FULMARYARD_REQUEST_RECORD_HPP
#define FULMARYARD_REQUEST_RECORD_HPP

#include "entry_metrics.hpp"

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Data about one request for its log line and the metrics.
struct request_record
{
    request_kind m_kind{request_kind::other};
    absl::Status m_status;
    /// The caller disconnected before the response was complete.
    bool m_caller_disconnected{false};
    std::string m_stream;
    std::uint32_t m_tokens{0};
    std::uint32_t m_replacements{0};
    std::uint32_t m_attempts{0};              ///< Side processes that a service call was sent to.
    std::chrono::nanoseconds m_queue_time{0}; ///< Time in the admission queue.
    /// Time from arrival to the first token; 0 if there was none.
    std::chrono::nanoseconds m_first_token_latency{0};
};

} // namespace fulmaryard

#endif
