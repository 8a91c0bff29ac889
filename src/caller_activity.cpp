#include <fulmaryard/caller_activity.hpp>

#include <iterator>

namespace fulmaryard
{

void caller_activity::on_bytes(std::uint64_t connection, state now_in, time_point now)
{
    auto& list = now_in == state::idle ? m_idle : m_incomplete;
    remove(connection);
    list.push_back({connection, now});
    m_positions[connection] = {&list, std::prev(list.end())};
}

void caller_activity::remove(std::uint64_t connection)
{
    const auto known = m_positions.find(connection);
    if (known == m_positions.end())
        return;
    known->second.m_list->erase(known->second.m_at);
    m_positions.erase(known);
}

std::optional<std::uint64_t>
caller_activity::longest_incomplete(std::chrono::milliseconds min_silence, time_point now) const
{
    if (m_incomplete.empty() || now - m_incomplete.front().m_last_byte < min_silence)
        return std::nullopt;
    return m_incomplete.front().m_connection;
}

std::optional<std::uint64_t> caller_activity::longest() const
{
    if (m_incomplete.empty() && m_idle.empty())
        return std::nullopt;
    if (m_incomplete.empty())
        return m_idle.front().m_connection;
    if (m_idle.empty())
        return m_incomplete.front().m_connection;
    const auto& idle = m_idle.front();
    const auto& incomplete = m_incomplete.front();
    return idle.m_last_byte < incomplete.m_last_byte ? idle.m_connection : incomplete.m_connection;
}

} // namespace fulmaryard
