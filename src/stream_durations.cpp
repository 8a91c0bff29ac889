#include <fulmaryard/stream_durations.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace fulmaryard
{

void stream_durations::on_answered(
    const std::string& route, const plan& planned, time_point start, milliseconds first_event,
    time_point end)
{
    if (!m_routes.contains(route) && m_routes.size() >= max_routes)
        drop_oldest_route();
    auto& known = m_routes[route];
    if (known.m_answers.empty())
        known.m_first_start = start;
    known.m_first_start = std::min(known.m_first_start, start);
    known.m_last_end = end;
    const milliseconds rest = milliseconds(end - start) - first_event;
    const answer recorded{
        first_event.count(), std::max(rest.count(), 0.0) / planned.m_tokens, planned.m_token_ms};
    if (known.m_answers.size() < max_answers)
    {
        known.m_answers.push_back(recorded);
        return;
    }
    known.m_answers[known.m_next] = recorded;
    known.m_next = (known.m_next + 1) % max_answers;
}

std::optional<duration_estimate> stream_durations::estimate(
    const std::string& route, const plan& planned, time_point now, double quantile) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end() || known->second.m_answers.size() < min_answers)
        return std::nullopt;
    const auto& answers = known->second.m_answers;
    std::array<double, max_answers> durations_ms{};
    std::transform(
        answers.begin(), answers.end(), durations_ms.begin(),
        [&](const answer& each)
        {
            const double slower = std::max(planned.m_token_ms / each.m_token_ms, 1.0);
            return each.m_first_event_ms + each.m_rest_per_token_ms * planned.m_tokens * slower;
        });
    const auto rank =
        static_cast<std::ptrdiff_t>(std::ceil(quantile * static_cast<double>(answers.size())));
    const auto found = durations_ms.begin() + rank - 1;
    std::nth_element(
        durations_ms.begin(), found,
        durations_ms.begin() + static_cast<std::ptrdiff_t>(answers.size()));
    const double duration_ms =
        std::min(std::ceil(*found), static_cast<double>(max_duration.count()));
    const std::chrono::milliseconds duration(static_cast<std::int64_t>(duration_ms));
    const bool settled = now - known->second.m_first_start >= 2 * duration;
    return duration_estimate{duration, answers.size(), settled};
}

void stream_durations::drop_oldest_route()
{
    m_routes.erase(std::min_element(
        m_routes.begin(), m_routes.end(),
        [](const auto& left, const auto& right)
        { return left.second.m_last_end < right.second.m_last_end; }));
}

} // namespace fulmaryard
