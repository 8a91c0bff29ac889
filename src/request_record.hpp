#ifndef FULMARYARD_REQUEST_RECORD_HPP
#define FULMARYARD_REQUEST_RECORD_HPP

#include "entry_metrics.hpp"

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// What the log line and the metrics of one request need.
struct request_record
{
    request_kind m_kind{request_kind::other};
    absl::Status m_status;
    bool m_caller_gone{false};
    std::string m_stream;
    std::uint32_t m_tokens{0};
    std::uint32_t m_replacements{0};
    std::uint32_t m_attempts{0};
    std::chrono::nanoseconds m_queued{0};
    std::chrono::nanoseconds m_first_token{0};
};

} // namespace fulmaryard

#endif
