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

/// Returns the level called `name` in settings, or `info` if there is none.
log_level parse_log_level(std::string_view name) noexcept;

/// Sets the minimum level of the events that are written. The default is `info`. Thread-safe.
void set_log_level(log_level level) noexcept;

/// Sets the stream that lines are written to. The default is standard error. Logging never blocks:
/// when the output is a full pipe, lines are dropped, and the next line written reports how many in
/// `lines_left_out_before`. Call it before other threads log.
void set_log_output(std::FILE* output) noexcept;

/// Limits the lines per second of each event name below level `warning`. The default, 0, means no
/// limit. The next line of that event reports the number of dropped lines in `left_out`.
/// Thread-safe.
void set_log_rate_limit(std::uint32_t lines_per_second) noexcept;

/// One event. Its destructor writes it to the log output as a line of key=value pairs:
/// `time=... level=info event=stream_opened process=entry-1 stream=...`.
/// Values that are empty or contain spaces, `"`, `=` or control characters are quoted and escaped.
class log_event
{
public:
    log_event(log_level level, std::string_view event);
    ~log_event();

    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends a key=value pair. `value` may be of any type that fmt can format.
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

/// Sets the value of `process` in all later lines. Call it before other threads log.
void set_log_process(std::string_view process);

} // namespace fulmaryard

#endif
