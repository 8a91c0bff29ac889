#ifndef FULMARYARD_LATE_READS_HPP
#define FULMARYARD_LATE_READS_HPP

#include <chrono>
#include <cstddef>

namespace fulmaryard
{

/// Limits what is read of an answer after its deadline.
///
/// The timer of a socket ends only a read that waits, so an answer whose bytes never stop would be
/// read without end. What had arrived before the deadline may still be read after it: a process
/// that was paused delivers the answers that it finds when it goes on.
class late_reads
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// About what a socket holds that was filled during a pause.
    static constexpr std::size_t max_bytes = 256 * 1024;

    /// Records that `bytes` were read by `now`; whether reading may go on.
    bool on_read(std::size_t bytes, time_point now, time_point deadline)
    {
        if (now >= deadline)
            m_bytes += bytes;
        return m_bytes <= max_bytes;
    }

private:
    std::size_t m_bytes{0}; ///< Read after the deadline.
};

} // namespace fulmaryard

#endif
