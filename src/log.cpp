#include <fulmaryard/log.hpp>

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

namespace fulmaryard
{

namespace
{

std::atomic<log_level> minimum_level{log_level::info};

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
    minimum_level.store(level, std::memory_order_relaxed);
}

void set_log_process(std::string_view process)
{
    process_name() = process;
}

log_event::log_event(log_level level, std::string_view event)
    : m_enabled(level >= minimum_level.load(std::memory_order_relaxed))
{
    if (!m_enabled)
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    m_line = fmt::format(
        "time={:%Y-%m-%dT%H:%M:}{:%S}Z level={} event={}", now, now.time_since_epoch(),
        level_names[static_cast<std::size_t>(level)], event);
    if (!process_name().empty())
        append("process", process_name());
}

log_event::~log_event()
{
    if (!m_enabled)
        return;
    m_line += '\n';
    // One fwrite per line: stdio locks the stream, so lines of several threads do not mix.
    std::fwrite(m_line.data(), 1, m_line.size(), stderr);
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
