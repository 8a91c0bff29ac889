#include <fulmaryard/run_history.hpp>

#include <algorithm>

namespace fulmaryard
{

void run_history::on_sent(const endpoint_run& run)
{
    ++m_sends[run].m_sent;
}

void run_history::on_refused(const endpoint_run& run, bool counts)
{
    auto& sends = m_sends[run];
    ++sends.m_refused;
    sends.m_refusal_counts = sends.m_refusal_counts || counts;
}

void run_history::on_ended(const endpoint_run& run)
{
    const auto found = m_sends.find(run);
    if (found != m_sends.end())
        found->second.m_ended = true;
}

std::uint32_t run_history::count() const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_sends.begin(), m_sends.end(), [](const auto& entry) { return entry.second.counts(); }));
}

std::uint32_t run_history::count_with(const endpoint_run& run) const
{
    const auto found = m_sends.find(run);
    return count() + (found != m_sends.end() && found->second.counts() ? 0 : 1);
}

bool run_history::may_have_run() const
{
    return std::any_of(
        m_sends.begin(), m_sends.end(),
        [](const auto& entry) { return entry.second.may_have_run(); });
}

std::vector<endpoint_run> run_history::counted() const
{
    std::vector<endpoint_run> runs;
    for (const auto& [run, sends] : m_sends)
    {
        if (sends.counts())
            runs.push_back(run);
    }
    return runs;
}

} // namespace fulmaryard
