#ifndef FULMARYARD_STORE_READ_SCHEDULE_HPP
#define FULMARYARD_STORE_READ_SCHEDULE_HPP

#include <fulmaryard/store_read.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace fulmaryard
{

/// Decides how a part of the platform's state is read next.
///
/// A watch returns every change since a revision, each as a whole object. Of a large object of
/// which only the newest version matters, a router that is behind reads a listing instead: its size
/// does not grow with the number of versions that were missed. Does no I/O. Not thread-safe.
class store_read_schedule
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// What a reader of this part of the state needs.
    enum class need
    {
        every_change,
        newest_version
    };

    /// After this time without an answer, several versions may have been missed, for example
    /// because the process was paused.
    static constexpr std::chrono::milliseconds max_watch_age{2'000};

    explicit store_read_schedule(need needed) : m_need(needed) {}

    /// When the next call may be made after an answer that began to arrive at `answer_began` and
    /// ended at `now`. Changes come in bursts, so calls are `interval` apart; a transfer that takes
    /// longer is not followed by a further delay, during which another version might be missed.
    static time_point
    next_call_time(time_point answer_began, time_point now, std::chrono::milliseconds interval)
    {
        return std::max(now, answer_began + interval);
    }

    /// The call to make at `now`. Nothing can be watched before the first listing.
    store_read::call_kind next_call(time_point now) const;

    /// A call was answered with `events` objects or changes; `is_news` if one of them was not
    /// known.
    void on_answer(store_read::call_kind call, std::size_t events, bool is_news, time_point now);

    /// A call failed or was given up, or another router knows a newer version.
    void on_behind() { m_behind = true; }

    /// The store has dropped the changes since the last answer.
    void on_history_dropped() { m_has_revision = false; }

private:
    need m_need;
    bool m_has_revision{false}; ///< A listing or watch has returned a revision to continue from.
    bool m_behind{false};       ///< Versions may have been missed.
    time_point m_last_answer;
};

} // namespace fulmaryard

#endif
