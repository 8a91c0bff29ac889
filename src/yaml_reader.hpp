#ifndef FULMARYARD_YAML_READER_HPP
#define FULMARYARD_YAML_READER_HPP

#include "field_table.hpp"

#include <fulmaryard/layer_range.hpp>

#include <absl/status/status.h>
#include <yaml-cpp/yaml.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmaryard
{

/// Reads aggregates with a field table from one YAML document and collects every error with file,
/// line, key and what was expected.
class yaml_reader
{
public:
    explicit yaml_reader(std::string file_name);

    /// Reads the document; its errors, of syntax too, are collected.
    template <typename Aggregate>
    void read_document(std::string_view text, Aggregate& value)
    {
        YAML::Node root;
        if (load(text, root))
            read(root, "", value);
    }

    /// Records an error at the place that was read as `path`, for example "rules[0].models[1]".
    void add_error(const std::string& path, std::string_view message);

    /// All errors so far as one `invalid_request`, a line each, ordered by line; ok without any.
    absl::Status status() const;

private:
    bool load(std::string_view text, YAML::Node& root);
    void expected(const YAML::Node& node, const std::string& path, std::string_view what);
    /// Returns the scalar of a node that is one; otherwise records an error and returns nullptr.
    const std::string*
    scalar(const YAML::Node& node, const std::string& path, std::string_view what);
    std::uint64_t
    read_number(const YAML::Node& node, const std::string& path, const field_rules& rules);
    bool is_list(const YAML::Node& node, const std::string& path);

    void read(
        const YAML::Node& node, const std::string& path, std::string& value,
        const field_rules& rules);
    void
    read(const YAML::Node& node, const std::string& path, layer_range& value, const field_rules&);

    template <std::unsigned_integral Number>
    void
    read(const YAML::Node& node, const std::string& path, Number& value, const field_rules& rules)
    {
        value = static_cast<Number>(read_number(node, path, rules));
    }

    template <has_field_table Aggregate>
    void read(const YAML::Node& node, const std::string& path, Aggregate& value, const field_rules&)
    {
        read(node, path, value);
    }

    template <typename Element>
    void read(
        const YAML::Node& node, const std::string& path, std::vector<Element>& value,
        const field_rules& rules)
    {
        if (!is_list(node, path))
            return;
        for (std::size_t i = 0; i < node.size(); ++i)
        {
            Element element{};
            const std::string element_path = path + "[" + std::to_string(i) + "]";
            note_line(node[i], element_path);
            read(node[i], element_path, element, rules);
            value.push_back(std::move(element));
        }
    }

    template <has_field_table Aggregate>
    void read(const YAML::Node& node, const std::string& path, Aggregate& value)
    {
        const auto members = members_of(node, path);
        if (!members)
            return;
        std::set<std::string_view> known;
        for_each_field<Aggregate>(
            [&](const auto& description)
            {
                known.insert(description.m_key);
                const std::string member_path = join(path, description.m_key);
                const auto found = members->find(description.m_key);
                if (found == members->end())
                {
                    if (description.m_rules.m_required)
                        expected(node, member_path, "a value; it is missing");
                    return;
                }
                const YAML::Node& key = found->second.first;
                const YAML::Node& member = found->second.second;
                note_line(key, member_path);
                // The mark of an empty value is that of the next token.
                if (member.IsNull())
                    expected(key, member_path, "a value; it is empty");
                else
                    read(member, member_path, value.*description.m_member, description.m_rules);
            });
        report_unknown(node, path, known);
    }

    /// Key and value by the key's text.
    using node_members = std::map<std::string, std::pair<YAML::Node, YAML::Node>, std::less<>>;
    std::optional<node_members> members_of(const YAML::Node& node, const std::string& path);
    void report_unknown(
        const YAML::Node& node, const std::string& path, const std::set<std::string_view>& known);
    void note_line(const YAML::Node& node, const std::string& path);
    static std::string join(const std::string& path, std::string_view key);

    std::string m_file_name;
    std::map<std::string, int> m_lines; ///< Path to line, from 1.
    std::vector<std::pair<int, std::string>> m_errors;
};

} // namespace fulmaryard

#endif
