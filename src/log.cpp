#include <fulmaryard/log.hpp>

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <cstdio>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace
{

std::atomic<log_level> min_log_level{log_level::info};

std::atomic<std::FILE*> log_output{stderr};
std::atomic<std::uint64_t> dropped_lines{0};

// Writes of up to PIPE_BUF bytes to a pipe are atomic, so lines are never written in part.
constexpr std::size_t max_line_bytes = PIPE_BUF;

/// Whether a line can be written without blocking.
bool is_writable(int descriptor)
{
    pollfd state{descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

std::atomic<std::uint32_t> lines_per_second{0};

/// Line counts of one event name.
struct event_line_counts
{
    std::int64_t m_second{0}; ///< Second of the steady clock that `m_written` counts.
    std::uint64_t m_written{0};
    std::uint64_t m_dropped{0}; ///< Lines dropped since the last one written.
};

/// Applies the rate limit to a line of `event`. Returns nullopt if the line must be dropped,
/// otherwise the number of lines of this event that were dropped since the last one written.
std::optional<std::uint64_t> admit_line(std::string_view event)
{
    const std::uint64_t rate_limit = lines_per_second.load(std::memory_order_relaxed);
    if (rate_limit == 0)
        return 0;
    static std::mutex mutex;
    static std::map<std::string, event_line_counts, std::less<>> lines;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    const std::lock_guard lock(mutex);
    auto found = lines.find(event);
    if (found == lines.end())
        found = lines.emplace(std::string(event), event_line_counts{}).first;
    auto& counts = found->second;
    if (counts.m_second != second)
    {
        counts.m_second = second;
        counts.m_written = 0;
    }
    if (counts.m_written >= rate_limit)
    {
        ++counts.m_dropped;
        return std::nullopt;
    }
    ++counts.m_written;
    return std::exchange(counts.m_dropped, 0);
}

std::string& process_name()
{
    static std::string name;
    return name;
}

constexpr std::string_view level_names[] = {"debug", "info", "warning", "error"};

bool needs_quotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value)
    {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == 0x7f)
            return true;
    }
    return false;
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            line += '\\';
            line += c;
        }
        else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", static_cast<unsigned char>(c));
        else
            line += c;
    }
    line += '"';
}

} // namespace

log_level parse_log_level(std::string_view name) noexcept
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    return name == "error" ? log_level::error : log_level::info;
}

void set_log_level(log_level level) noexcept
{
    min_log_level.store(level, std::memory_order_relaxed);
}

void set_log_output(std::FILE* stream) noexcept
{
    log_output.store(stream, std::memory_order_relaxed);
}

void set_log_rate_limit(std::uint32_t rate_limit) noexcept
{
    lines_per_second.store(rate_limit, std::memory_order_relaxed);
}

void set_log_process(std::string_view process)
{
    process_name() = process;
}

log_event::log_event(log_level level, std::string_view event)
    : m_enabled(level >= min_log_level.load(std::memory_order_relaxed))
{
    if (!m_enabled)
        return;
    const auto dropped_lines_of_event =
        level < log_level::warning ? admit_line(event) : std::optional<std::uint64_t>(0);
    m_enabled = dropped_lines_of_event.has_value();
    if (!m_enabled)
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    m_line = fmt::format(
        "time={:%Y-%m-%dT%H:%M:}{:%S}Z level={} event={}", now, now.time_since_epoch(),
        level_names[static_cast<std::size_t>(level)], event);
    if (!process_name().empty())
        append("process", process_name());
    if (*dropped_lines_of_event > 0)
        append("left_out", fmt::format("{}", *dropped_lines_of_event));
}

log_event::~log_event()
{
    if (!m_enabled)
        return;
    const int descriptor = fileno(log_output.load(std::memory_order_relaxed));
    if (!is_writable(descriptor))
    {
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (const auto count = dropped_lines.exchange(0, std::memory_order_relaxed); count > 0)
        append("lines_left_out_before", fmt::format("{}", count));
    m_line.resize(std::min(m_line.size(), max_line_bytes - 1));
    m_line += '\n';
    // A single write per line keeps lines of different threads from interleaving. The descriptor
    // stays in blocking mode because other processes may share it.
    if (write(descriptor, m_line.data(), m_line.size()) < 0)
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
}

void log_event::append(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needs_quotes(value))
        append_quoted(m_line, value);
    else
        m_line += value;
}

} // namespace fulmaryard
