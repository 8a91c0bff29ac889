#include <fulmaryard/prompt_quarantine.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace fulmaryard
{

namespace
{

// Time in which the weight of a counted outcome halves. It spans several crashes, and traffic that
// changes within it is still recent.
constexpr double half_life_seconds = 5;

constexpr std::chrono::seconds cleanup_interval{1};

constexpr std::string_view request_prefix = "request:";

// Reports that one message holds; far more parts than can crash endpoints at the same time.
constexpr std::size_t max_reports = 32;

std::chrono::milliseconds age(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

void prompt_quarantine::count_outcomes(double answered, double crashed, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_counted).count();
    const double weight = std::exp2(-seconds / half_life_seconds);
    m_counted = now;
    m_answered = m_answered * weight + answered;
    m_crashed = m_crashed * weight + crashed;
}

std::string prompt_quarantine::request_part(std::string_view identity)
{
    return std::string(request_prefix) += identity;
}

bool prompt_quarantine::is_request(std::string_view part)
{
    return part.starts_with(request_prefix);
}

bool prompt_quarantine::suspects_request(std::string_view outline) const
{
    const auto prefix = request_part(outline);
    const auto found = m_parts.lower_bound(prefix);
    return found != m_parts.end() && found->first.starts_with(prefix);
}

bool prompt_quarantine::is_full(const std::string& part) const
{
    return m_parts.size() >= max_parts && !m_parts.contains(part);
}

prompt_quarantine::part_state& prompt_quarantine::state_of(const std::string& part)
{
    auto& state = m_parts[part];
    state.m_is_request = is_request(part);
    return state;
}

void prompt_quarantine::acquit(part_state& state)
{
    state.m_own_crashes.clear();
    state.m_crashes.clear();
    state.m_until.reset();
    state.m_duration = {};
    state.m_trial.reset();
}

void prompt_quarantine::on_answered(const part_list& parts, time_point now)
{
    if (std::any_of(parts.begin(), parts.end(), [](const auto& part) { return !is_request(part); }))
        count_outcomes(1, 0, now);
    for (const auto& part : parts)
    {
        if (is_full(part) || (is_request(part) && !m_parts.contains(part)))
            continue;
        auto& state = state_of(part);
        state.m_answered = now;
        state.m_last_answer = now;
        if (!state.m_crashes.empty())
            state.m_disputed = now;
        acquit(state);
    }
}

std::size_t prompt_quarantine::count_moments(const crash_times& crashes, bool is_request)
{
    if (is_request)
        return crashes.size();
    std::vector<time_point> times;
    for (const auto& [run, time] : crashes)
        times.push_back(time);
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
        moments += i == 0 || times[i] - times[i - 1] >= crash_spacing ? 1 : 0;
    return moments;
}

prompt_quarantine::evidence prompt_quarantine::strength(const part_state& state, time_point now)
{
    const bool answered_lately =
        state.m_last_answer && now - *state.m_last_answer < evidence_lifetime;
    return {count_moments(state.m_crashes, state.m_is_request), !answered_lately};
}

bool prompt_quarantine::explains(const part_state& other, const part_state& state, time_point now)
{
    const auto [moments, is_new] = strength(other, now);
    const auto needed = count_moments(state.m_crashes, state.m_is_request);
    return is_new ? moments + 1 >= needed : moments > needed;
}

template <typename Predicate>
prompt_quarantine::crash_times prompt_quarantine::unexplained(
    const part_state& state, time_point now, const Predicate& counts) const
{
    auto crashes = state.m_crashes;
    for (const auto& entry : m_parts)
    {
        const auto& other = entry.second;
        if (&other == &state || !other.m_until || !explains(other, state, now) ||
            !counts(entry.first, other))
            continue;
        std::erase_if(
            crashes, [&](const auto& crash) { return other.m_crashes.contains(crash.first); });
    }
    return crashes;
}

bool prompt_quarantine::are_conclusive(const crash_times& crashes, const part_state& state) const
{
    const auto moments = count_moments(crashes, state.m_is_request);
    if (state.m_is_request)
        return moments >= min_crashes;
    // A sound part crashes an endpoint as seldom as requests without it do. One of each outcome is
    // assumed, so that a few answers alone prove little.
    const double other_crashes =
        std::max(0.0, m_crashed - static_cast<double>(state.m_own_crashes.size()));
    const double crash_share = (other_crashes + 1) / (m_answered + other_crashes + 2);
    return moments >= min_crashes &&
           std::pow(crash_share, static_cast<double>(moments)) <= max_error;
}

bool prompt_quarantine::is_suspect(const part_state& state, time_point now) const
{
    const auto is_stronger = [&](const std::string&, const part_state& other)
    { return !explains(state, other, now); };
    return are_conclusive(unexplained(state, now, is_stronger), state);
}

bool prompt_quarantine::applies_to(
    const part_state& state, const part_list& parts, time_point now) const
{
    if (!state.m_until)
        return false;
    const auto is_absent = [&](const std::string& part, const part_state&)
    { return std::find(parts.begin(), parts.end(), part) == parts.end(); };
    const auto crashes = unexplained(state, now, is_absent);
    // Another router may have quarantined the part for crashes that are not known here yet.
    return crashes.size() == state.m_crashes.size() || are_conclusive(crashes, state);
}

void prompt_quarantine::begin_quarantine(
    part_state& state, time_point until, std::chrono::milliseconds duration)
{
    state.m_until = until;
    state.m_duration = duration;
    state.m_trial.reset();
    ++m_generation;
}

prompt_quarantine::part_list
prompt_quarantine::on_crashed(const part_list& parts, const std::string& run, time_point now)
{
    std::vector<std::pair<std::string, part_state*>> suspects;
    bool counted = false;
    for (const auto& part : parts)
    {
        if (is_full(part))
            continue;
        auto& state = state_of(part);
        if (!counted && !state.m_is_request && !state.m_own_crashes.contains(run))
        {
            count_outcomes(0, 1, now);
            counted = true;
        }
        state.m_own_crashes.try_emplace(run, now);
        state.m_crashes.try_emplace(run, now);
        if (!state.m_until || now >= *state.m_until)
            suspects.emplace_back(part, &state);
    }
    // Stronger suspects first: what they explain is no evidence against the others.
    std::stable_sort(
        suspects.begin(), suspects.end(),
        [&](const auto& left, const auto& right)
        { return strength(*left.second, now) > strength(*right.second, now); });
    part_list quarantined;
    for (const auto& [part, state] : suspects)
    {
        const bool trial_failed = state->m_until.has_value();
        if (!trial_failed && !is_suspect(*state, now))
            continue;
        const auto duration =
            trial_failed ? std::min(2 * state->m_duration, max_duration) : initial_duration;
        begin_quarantine(*state, now + duration, duration);
        quarantined.push_back(part);
    }
    return quarantined;
}

prompt_quarantine::part_list prompt_quarantine::on_peer_report(const report& peer, time_point now)
{
    const bool is_known = m_parts.contains(peer.m_part);
    if (!is_known && (m_parts.size() >= max_parts || peer.m_crashes.empty()))
        return {};
    auto& state = state_of(peer.m_part);
    if (peer.m_answer)
        state.m_last_answer =
            std::max(state.m_last_answer.value_or(time_point::min()), now - *peer.m_answer);
    const auto answered = state.m_last_answer.value_or(time_point::min());
    for (const auto& [run, crash_age] : peer.m_crashes)
    {
        if (now - crash_age > answered)
            state.m_crashes.try_emplace(run, now - crash_age);
        else if (state.m_answered)
            state.m_disputed = now;
    }
    const auto is_refuted = [&](const auto& crash) { return crash.second < answered; };
    std::erase_if(state.m_own_crashes, is_refuted);
    std::erase_if(state.m_crashes, is_refuted);
    if (state.m_crashes.empty())
    {
        acquit(state);
        return {};
    }
    const bool was_clear = !state.m_until;
    if (peer.m_quarantine && (was_clear || now + *peer.m_quarantine > *state.m_until))
    {
        state.m_until = now + *peer.m_quarantine;
        state.m_duration = std::max({state.m_duration, initial_duration, *peer.m_quarantine});
        m_generation += was_clear ? 1 : 0;
    }
    else if (was_clear && is_suspect(state, now))
        begin_quarantine(state, now + initial_duration, initial_duration);
    return was_clear && state.m_until ? part_list{peer.m_part} : part_list{};
}

std::optional<std::chrono::milliseconds>
prompt_quarantine::admit(const part_list& parts, time_point now, const trial_owner& owns_trial)
{
    std::optional<std::chrono::milliseconds> wait;
    part_state* trial = nullptr;
    for (const auto& part : parts)
    {
        const auto found = m_parts.find(part);
        if (found == m_parts.end() || !applies_to(found->second, parts, now))
            continue;
        auto& state = found->second;
        const bool trial_due =
            now >= *state.m_until && (!state.m_trial || now - *state.m_trial >= state.m_duration);
        if (trial_due && owns_trial(part))
            trial = &state;
        else
            wait = std::max(wait.value_or(trial_time), age(*state.m_until - now));
    }
    if (!wait && trial != nullptr)
        trial->m_trial = now;
    return wait;
}

bool prompt_quarantine::quarantined(const part_list& parts, time_point now) const
{
    return std::any_of(
        parts.begin(), parts.end(),
        [&](const std::string& part)
        {
            const auto found = m_parts.find(part);
            return found != m_parts.end() && found->second.m_until &&
                   now < *found->second.m_until && applies_to(found->second, parts, now);
        });
}

bool prompt_quarantine::may_repeat(const part_list& parts, time_point now) const
{
    return std::all_of(
        parts.begin(), parts.end(),
        [&](const std::string& part)
        {
            const auto found = m_parts.find(part);
            if (is_request(part))
                return found == m_parts.end() ||
                       found->second.m_crashes.size() < max_repeated_crashes;
            return found != m_parts.end() && found->second.m_answered &&
                   now - *found->second.m_answered < evidence_lifetime;
        });
}

std::vector<prompt_quarantine::report> prompt_quarantine::reports(time_point now) const
{
    struct entry
    {
        bool m_is_verdict; ///< A quarantine, or an answer that ends one.
        std::size_t m_moments;
        time_point m_last_crash;
        const std::string* m_part;
        const part_state* m_state;
    };
    std::vector<entry> entries;
    for (const auto& [part, state] : m_parts)
    {
        const bool disputed = state.m_disputed && now - *state.m_disputed < answer_report_time;
        if (!state.m_crashes.empty() || disputed)
        {
            time_point last;
            for (const auto& [run, time] : state.m_crashes)
                last = std::max(last, time);
            entries.push_back(
                {disputed || state.m_until.has_value(),
                 count_moments(state.m_crashes, state.m_is_request), last, &part, &state});
        }
    }
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const entry& left, const entry& right)
        {
            return std::tie(left.m_is_verdict, left.m_moments, left.m_last_crash) >
                   std::tie(right.m_is_verdict, right.m_moments, right.m_last_crash);
        });
    entries.resize(std::min(entries.size(), max_reports));
    std::vector<report> reports;
    for (const auto& entry : entries)
    {
        const auto& state = *entry.m_state;
        report own{*entry.m_part, {}, std::nullopt, std::nullopt};
        for (const auto& [run, time] : state.m_own_crashes)
            own.m_crashes[run] = age(now - time);
        if (state.m_answered)
            own.m_answer = age(now - *state.m_answered);
        if (state.m_until && now < *state.m_until)
            own.m_quarantine = age(*state.m_until - now);
        reports.push_back(std::move(own));
    }
    return reports;
}

void prompt_quarantine::on_tick(time_point now)
{
    if (now < m_next_cleanup)
        return;
    m_next_cleanup = now + cleanup_interval;
    const auto is_old = [now](time_point time) { return now - time >= evidence_lifetime; };
    const auto is_old_crash = [&](const auto& crash) { return is_old(crash.second); };
    for (auto entry = m_parts.begin(); entry != m_parts.end();)
    {
        auto& state = entry->second;
        if (state.m_until && now >= *state.m_until + state.m_duration)
            acquit(state); // Nobody has asked for a trial.
        if (!state.m_until)
        {
            std::erase_if(state.m_own_crashes, is_old_crash);
            std::erase_if(state.m_crashes, is_old_crash);
        }
        const bool is_unused =
            state.m_crashes.empty() && (!state.m_answered || is_old(*state.m_answered));
        entry = is_unused ? m_parts.erase(entry) : std::next(entry);
    }
}

} // namespace fulmaryard
