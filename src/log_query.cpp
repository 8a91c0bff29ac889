#include <fulmaryard/log_query.hpp>

#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>

namespace fulmaryard
{

namespace
{

/// Returns the value of `key` in a line of key=value pairs, without quotes; empty if absent.
std::string value_of(std::string_view line, std::string_view key)
{
    const std::string start = fmt::format(" {}=", key);
    auto begin = line.find(start);
    if (begin == std::string_view::npos)
        return {};
    begin += start.size();
    const bool quoted = begin < line.size() && line[begin] == '"';
    begin += quoted ? 1 : 0;
    const auto end = line.find(quoted ? '"' : ' ', begin);
    return std::string(line.substr(begin, end == std::string_view::npos ? end : end - begin));
}

/// Returns the timestamp of a line, or nullopt if it has no valid one.
std::optional<absl::Time> time_of(const std::string& line)
{
    absl::Time time;
    std::string error;
    const std::string text = value_of(fmt::format(" {}", line), "time");
    if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error))
        return std::nullopt;
    return time;
}

/// Adds the ids and addresses of the endpoints in `line` to `endpoints`.
void add_endpoints(const std::string& line, std::set<std::string>& endpoints)
{
    for (const char* key : {"endpoint", "first", "address"})
    {
        if (auto value = value_of(line, key); !value.empty())
            endpoints.insert(std::move(value));
    }
    const std::string path = value_of(line, "path");
    for (const auto hop : absl::StrSplit(path, ',', absl::SkipEmpty()))
        endpoints.insert(std::string(hop.substr(0, hop.find('='))));
}

} // namespace

std::vector<std::string> find_request_lines(
    const std::vector<std::string>& lines, const std::string& request,
    std::chrono::milliseconds margin)
{
    std::vector<std::pair<absl::Time, const std::string*>> found;
    std::set<std::string> endpoints;
    for (const auto& line : lines)
    {
        if (value_of(line, "request") != request)
            continue;
        const auto time = time_of(line);
        if (!time)
            continue;
        found.emplace_back(*time, &line);
        add_endpoints(line, endpoints);
    }
    if (found.empty())
        return {};
    const auto [first, last] = std::minmax_element(found.begin(), found.end());
    const auto begin = first->first - absl::Milliseconds(margin.count());
    const auto end = last->first + absl::Milliseconds(margin.count());
    for (const auto& line : lines)
    {
        if (!value_of(line, "request").empty() ||
            (!endpoints.contains(value_of(line, "endpoint")) &&
             !endpoints.contains(value_of(line, "address"))))
            continue;
        const auto time = time_of(line);
        if (time && *time >= begin && *time <= end)
            found.emplace_back(*time, &line);
    }
    std::stable_sort(
        found.begin(), found.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> result;
    result.reserve(found.size());
    for (const auto& [time, line] : found)
        result.push_back(*line);
    return result;
}

} // namespace fulmaryard
