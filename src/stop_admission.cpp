#include <fulmaryard/stop_admission.hpp>

#include <algorithm>
#include <cstdint>

namespace fulmaryard
{

namespace
{

// Upper bound of the time per token, by what it is on a path now. Other requests may join.
constexpr double max_token_time_ratio = 2;

// Few answers are more than this many times as long as estimated.
constexpr double max_length_ratio = 2;

// Time until the first event of a stream whose caller still waits for it.
constexpr std::chrono::milliseconds max_first_event{700};

/// Largest time that an answer of `tokens` tokens takes.
duration_estimate longest_duration(const stream_durations::plan& plan, double tokens)
{
    const double longest_ms = std::min(
        max_token_time_ratio * tokens * plan.m_token_ms,
        static_cast<double>(stream_durations::max_duration.count()));
    const std::chrono::milliseconds longest(static_cast<std::int64_t>(longest_ms));
    return {longest + max_first_event, 0, false};
}

std::optional<duration_estimate> while_callers_arrive(
    const stream_durations& durations, const stopping_stream& stream, bool most_stay,
    stop_admission::time_point now)
{
    const double quantile = most_stay ? stream_durations::default_quantile : 0.5;
    auto known = durations.estimate(stream.m_route, stream.m_plan, now, quantile);
    if (!known)
        known = durations.estimate(stream.m_service, stream.m_plan, now, quantile);
    if (known && known->m_settled)
        return known;
    if (!stream.m_has_pipeline || stream.m_estimated_tokens == 0)
        return std::nullopt;
    double tokens = max_length_ratio * stream.m_estimated_tokens;
    if (stream.m_max_tokens > 0)
        tokens = std::min(tokens, stream.m_max_tokens);
    const auto longest = longest_duration(stream.m_plan, tokens);
    return known ? std::max(*known, longest) : longest;
}

} // namespace

std::optional<duration_estimate> stop_admission::expected_duration(
    const stream_durations& durations, const stopping_stream& stream, bool arrivals_end,
    bool most_stay, time_point now)
{
    if (!arrivals_end)
        return while_callers_arrive(durations, stream, most_stay, now);
    // Some answers are longer than nearly all of their route, so answers alone bound none.
    if (!stream.m_has_pipeline || stream.m_max_tokens == 0)
        return std::nullopt;
    const auto known = durations.estimate(stream.m_route, stream.m_plan, now);
    const auto longest = longest_duration(stream.m_plan, stream.m_max_tokens);
    return known ? std::max(*known, longest) : longest;
}

} // namespace fulmaryard
