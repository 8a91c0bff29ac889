#ifndef FULMARYARD_LOG_HPP
#define FULMARYARD_LOG_HPP

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace fulmaryard
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// Level of a name in settings; `info` for any other name.
log_level parse_log_level(std::string_view name) noexcept;

/// Sets the lowest level that is written; `info` unless set. Thread-safe.
void set_log_level(log_level level) noexcept;

/// Where lines are written; standard error unless set. A line that the reader of a pipe has no room
/// for is left out, so that logging never blocks; the next line that is written says how many.
/// Call it before other threads log.
void set_log_output(std::FILE* output) noexcept;

/// Bounds the lines of one kind of event below `warning` that are written in a second; 0, the
/// default, sets no bound. The next line of that kind says how many were left out. Thread-safe.
void set_log_budget(std::uint32_t lines_per_second) noexcept;

/// One event, written to the log output as one line of key=value pairs when it is destroyed:
/// `time=... level=info event=stream_opened process=entry-1 stream=...`.
/// Values with spaces, quotes or control characters are quoted and escaped.
class log_event
{
public:
    log_event(log_level level, std::string_view event);
    ~log_event();

    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends one pair. `value` is any type that fmt can format.
    template <typename Value>
    log_event& with(std::string_view key, const Value& value)
    {
        if (m_enabled)
            append(key, fmt::format("{}", value));
        return *this;
    }

private:
    void append(std::string_view key, std::string_view value);

    bool m_enabled;
    std::string m_line;
};

/// Sets the `process` pair of every later line. Call it before other threads log.
void set_log_process(std::string_view process);

} // namespace fulmaryard

#endif
