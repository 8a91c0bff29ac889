#include <fulmaryard/stall_locator.hpp>

#include <algorithm>
#include <map>
#include <string_view>

namespace fulmaryard
{

bool stall_locator::silent(const stream_progress& stream)
{
    return stream.m_silence >= min_silence &&
           stream.m_silence >= stream.m_usual_interval * silent_intervals;
}

std::set<std::string> stall_locator::find(const std::vector<stream_progress>& streams)
{
    std::set<std::string> stalled;
    if (static_cast<std::size_t>(std::count_if(streams.begin(), streams.end(), silent)) <
        min_streams)
        return stalled;
    std::set<std::string_view> sound;
    for (const auto& stream : streams)
    {
        if (stream.m_silence <= stream.m_usual_interval * progress_intervals)
            sound.insert(stream.m_endpoints.begin(), stream.m_endpoints.end());
    }
    std::map<std::string_view, std::size_t> explained;
    for (const auto& stream : streams)
    {
        if (!silent(stream))
            continue;
        std::string_view suspect;
        std::size_t suspects = 0;
        for (const auto& endpoint : stream.m_endpoints)
        {
            if (sound.contains(endpoint))
                continue;
            suspect = endpoint;
            ++suspects;
        }
        if (suspects == 1)
            ++explained[suspect];
    }
    for (const auto& [endpoint, count] : explained)
    {
        if (count >= min_streams)
            stalled.emplace(endpoint);
    }
    return stalled;
}

} // namespace fulmaryard
