#include "yaml_reader.hpp"

#include <fulmaryard/failure.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

// Platform objects hold at most 1 MB, so a larger file could not be applied.
constexpr std::size_t max_file_bytes = 1'000'000;
// Limits the report on a file with an error on each line; the first errors are enough to act on.
constexpr std::size_t max_errors = 100;

int line_of(const YAML::Node& node)
{
    return node.Mark().line + 1; // yaml-cpp counts from 0; -1 is an unknown position
}

} // namespace

yaml_reader::yaml_reader(std::string file_name) : m_file_name(std::move(file_name)) {}

bool yaml_reader::load_document(std::string_view text, YAML::Node& root)
{
    if (text.size() > max_file_bytes)
    {
        m_errors.emplace_back(
            0,
            fmt::format("expected at most {} bytes, the file has {}", max_file_bytes, text.size()));
        return false;
    }
    try
    {
        const auto documents = YAML::LoadAll(std::string(text));
        if (documents.size() == 1)
        {
            root = documents.front();
            return true;
        }
        m_errors.emplace_back(
            1, fmt::format("expected one YAML document, found {}", documents.size()));
    }
    catch (const YAML::Exception& error)
    {
        m_errors.emplace_back(error.mark.line + 1, "expected YAML: " + error.msg);
    }
    return false;
}

void yaml_reader::add_error(const std::string& path, std::string_view message)
{
    const auto line = m_lines.find(path);
    m_errors.emplace_back(
        line == m_lines.end() ? 1 : line->second, fmt::format("{}: {}", path, message));
}

absl::Status yaml_reader::status() const
{
    if (m_errors.empty())
        return absl::OkStatus();
    auto errors = m_errors;
    std::stable_sort(
        errors.begin(), errors.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    std::string text;
    for (std::size_t i = 0; i < errors.size() && i < max_errors; ++i)
    {
        text += fmt::format(
            "{}{}:{}: {}", i == 0 ? "" : "\n", m_file_name, errors[i].first, errors[i].second);
    }
    if (errors.size() > max_errors)
        text += fmt::format("\n{}: {} more errors", m_file_name, errors.size() - max_errors);
    return make_failure(failure_kind::invalid_request, text);
}

void yaml_reader::add_expected_error(
    const YAML::Node& node, const std::string& path, std::string_view what)
{
    m_errors.emplace_back(
        line_of(node), path.empty() ? fmt::format("expected {}", what)
                                    : fmt::format("{}: expected {}", path, what));
}

const std::string*
yaml_reader::read_scalar(const YAML::Node& node, const std::string& path, std::string_view what)
{
    if (node.IsScalar())
        return &node.Scalar();
    add_expected_error(node, path, what);
    return nullptr;
}

std::uint64_t
yaml_reader::read_number(const YAML::Node& node, const std::string& path, const field_rules& rules)
{
    const auto& format = *rules.m_format;
    const std::string what = fmt::format(
        "{} from {} to {}", format.m_name, rules.m_min / format.m_unit,
        rules.m_max / format.m_unit);
    const std::string* text = read_scalar(node, path, what);
    if (text == nullptr)
        return rules.m_min;
    const auto number = format.m_parse(*text);
    // yaml-cpp tags quoted scalars with "!"; a quoted "10" is a string, not a number.
    if (!number || node.Tag() == "!" || *number < rules.m_min || *number > rules.m_max)
    {
        add_expected_error(node, path, what);
        return rules.m_min;
    }
    return *number;
}

bool yaml_reader::require_list(const YAML::Node& node, const std::string& path)
{
    if (node.IsSequence())
        return true;
    add_expected_error(node, path, "a list");
    return false;
}

void yaml_reader::read(
    const YAML::Node& node, const std::string& path, std::string& value, const field_rules& rules)
{
    const std::string* text = read_scalar(node, path, "a text");
    if (text == nullptr)
        return;
    if (const char* what = rules.m_check != nullptr ? rules.m_check(*text) : nullptr)
        add_expected_error(node, path, what);
    value = *text;
}

void yaml_reader::read(
    const YAML::Node& node, const std::string& path, layer_range& value, const field_rules&)
{
    if (!node.IsSequence() || node.size() != 2)
    {
        add_expected_error(node, path, "a pair [begin, end] of layers");
        return;
    }
    read(node[0], path + "[0]", value.m_begin, field_rules{});
    read(node[1], path + "[1]", value.m_end, field_rules{});
}

std::optional<yaml_reader::node_members>
yaml_reader::collect_members(const YAML::Node& node, const std::string& path)
{
    if (!node.IsMap())
    {
        add_expected_error(node, path, "a map of keys and values");
        return std::nullopt;
    }
    node_members members;
    for (const auto& member : node)
    {
        if (!member.first.IsScalar())
            continue;
        if (!members.emplace(member.first.Scalar(), std::pair(member.first, member.second)).second)
            add_expected_error(
                member.first, join(path, member.first.Scalar()), "the key only once");
    }
    return members;
}

void yaml_reader::report_unknown_keys(
    const YAML::Node& node, const std::string& path, const std::set<std::string_view>& known)
{
    for (const auto& member : node)
    {
        if (member.first.IsScalar() && known.contains(member.first.Scalar()))
            continue;
        const std::string key = member.first.IsScalar() ? member.first.Scalar() : "?";
        add_expected_error(
            member.first, join(path, key),
            fmt::format("one of the keys {}; this one is unknown", fmt::join(known, ", ")));
    }
}

void yaml_reader::record_line(const YAML::Node& node, const std::string& path)
{
    m_lines[path] = line_of(node);
}

std::string yaml_reader::join(const std::string& path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

} // namespace fulmaryard
