#include "fault_set.hpp"

#include "standin_support.hpp"

#include <algorithm>

namespace fulmaryard::standins
{

bool fault_set::add(
    const boost::json::object& description, const std::vector<std::string_view>& kinds,
    clock::time_point now, std::uint64_t last_connection)
{
    fault added{
        text_of(description, "kind"), text_of(description, "match"),
        std::chrono::milliseconds(
            std::min<std::uint64_t>(number_of(description, "ms", 0), 86'400'000)),
        number_of(description, "count", 0), clock::time_point::max()};
    if (std::find(kinds.begin(), kinds.end(), added.m_kind) == kinds.end())
        return false;
    if (added.m_kind == "silent")
    {
        m_last_silent_connection = std::max(m_last_silent_connection, last_connection);
        return true;
    }
    if (m_faults.size() >= m_max_faults)
        return false;
    if (added.m_kind != "delay" && added.m_duration.count() > 0)
        added.m_expiry = now + added.m_duration;
    m_faults.push_back(std::move(added));
    return true;
}

void fault_set::clear()
{
    // Silent connections stay silent after the faults are cleared, as real ones do.
    m_faults.clear();
}

const fault_set::fault*
fault_set::take_first(std::string_view kind, std::string_view path, clock::time_point now)
{
    std::erase_if(m_faults, [now](const fault& each) { return each.m_expiry <= now; });
    const auto found = std::find_if(
        m_faults.begin(), m_faults.end(),
        [kind, path](const fault& each) {
            return each.m_kind == kind &&
                   path.substr(0, each.m_path_prefix.size()) == each.m_path_prefix;
        });
    if (found == m_faults.end())
        return nullptr;
    m_taken = *found;
    if (found->m_count > 0 && --found->m_count == 0)
        m_faults.erase(found);
    return &m_taken;
}

bool fault_set::take(std::string_view kind, std::string_view path, clock::time_point now)
{
    return take_first(kind, path, now) != nullptr;
}

std::chrono::milliseconds fault_set::take_delay(std::string_view path, clock::time_point now)
{
    const fault* found = take_first("delay", path, now);
    return found == nullptr ? std::chrono::milliseconds(0) : found->m_duration;
}

} // namespace fulmaryard::standins
