#ifndef FULMARYARD_LATE_READS_HPP
#define FULMARYARD_LATE_READS_HPP

#include <chrono>
#include <cstddef>
#include <optional>

namespace fulmaryard
{

/// Limits what is read of an answer after its deadline.
///
/// The timer of a socket ends only a read that waits, so an answer whose bytes never stop would be
/// read without end. What had arrived before the deadline may still be read after it: a process
/// that was paused delivers the answers that it finds when it goes on. A busy process needs long
/// for the same bytes, so the time is limited as well.
class late_reads
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// About what a socket holds that was filled during a pause.
    static constexpr std::size_t max_bytes = 256 * 1024;

    /// Time for these bytes. A caller waits about half a second past its deadline.
    static constexpr std::chrono::milliseconds max_time{200};

    /// Records that `bytes` were read by `now`; whether reading may go on.
    bool on_read(std::size_t bytes, time_point now, time_point deadline)
    {
        if (now < deadline)
            return true;
        if (!m_first)
            m_first = now;
        m_bytes += bytes;
        return m_bytes <= max_bytes && now - *m_first <= max_time;
    }

private:
    std::size_t m_bytes{0};            ///< Read after the deadline.
    std::optional<time_point> m_first; ///< Time of the first read after the deadline.
};

} // namespace fulmaryard

#endif
