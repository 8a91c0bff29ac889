#ifndef FULMARYARD_STREAM_DURATIONS_HPP
#define FULMARYARD_STREAM_DURATIONS_HPP

#include <fulmaryard/duration_estimate.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// How long the streams of each route last, by the newest that were answered in full.
///
/// The time after the first event is kept by the announced tokens of the answer, with the speed of
/// its path, so that an estimate follows the length that a caller announces and the path that it
/// would get. Does no I/O. Not thread-safe.
class stream_durations
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::duration<double, std::milli>;

    /// What is known of an answer before it begins.
    struct plan
    {
        double m_tokens{1};   ///< Announced by the caller, or typical; over 0.
        double m_token_ms{1}; ///< Time per token that its path promised; over 0.

        friend auto operator<=>(const plan&, const plan&) = default;
    };

    /// Share of the streams of a route that last no longer than its estimate.
    static constexpr double default_quantile = 0.98;

    /// Streams of a route that must have been answered before there is an estimate.
    static constexpr std::size_t min_answers = 30;

    /// Newest answers of a route that an estimate rests on.
    static constexpr std::size_t max_answers = 128;

    /// Longest estimate. Callers announce any number of tokens.
    static constexpr std::chrono::milliseconds max_duration{std::chrono::hours(24)};

    /// Routes that are kept; those whose last answer is oldest are forgotten.
    static constexpr std::size_t max_routes = 256;

    /// Records a stream that began at `start`, had its first event after `first_event`, and ended
    /// at `end`.
    void on_answered(
        const std::string& route, const plan& planned, time_point start, milliseconds first_event,
        time_point end);

    /// Duration that a stream of the route is expected not to exceed, from its arrival on; nullopt
    /// while too little is known. Answers on slower paths than `planned` count as they were, those
    /// on faster ones as they would have been. `quantile` is the share of the streams that last no
    /// longer. A process that has run for a short time has only
    /// seen streams that ended early, so an estimate is settled only once the streams of twice its
    /// length were seen.
    std::optional<duration_estimate> estimate(
        const std::string& route, const plan& planned, time_point now,
        double quantile = default_quantile) const;

private:
    struct answer
    {
        double m_first_event_ms{0};
        double m_rest_per_token_ms{0}; ///< Time after the first event by announced token.
        double m_token_ms{1};          ///< As planned.
    };

    struct route_answers
    {
        std::vector<answer> m_answers; ///< A ring once it holds `max_answers`.
        std::size_t m_next{0};         ///< Index of the oldest then.
        time_point m_first_start;      ///< Of the first stream that was recorded.
        time_point m_last_end;
    };

    void drop_oldest_route();

    std::map<std::string, route_answers> m_routes;
};

} // namespace fulmaryard

#endif
