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

/// Reads aggregates that have a field table from one YAML document. Collects all errors, each with
/// its file, line, key and what was expected.
class yaml_reader
{
public:
    explicit yaml_reader(std::string file_name);

    /// Reads the document into `value`; collects syntax errors and invalid values.
    template <typename Aggregate>
    void read_document(std::string_view text, Aggregate& value)
    {
        YAML::Node root;
        if (load_document(text, root))
            read(root, "", value);
    }

    /// Records an error at the line where `path`, for example "rules[0].models[1]", was read, or at
    /// line 1 if the document does not contain it.
    void add_error(const std::string& path, std::string_view message);

    /// Returns all errors as one `invalid_request`, one per line and sorted by line number; ok if
    /// there are none.
    absl::Status status() const;

private:
    bool load_document(std::string_view text, YAML::Node& root);
    void add_expected_error(const YAML::Node& node, const std::string& path, std::string_view what);
    /// Returns the text of a scalar node; for any other node records an error and returns nullptr.
    const std::string*
    read_scalar(const YAML::Node& node, const std::string& path, std::string_view what);
    std::uint64_t
    read_number(const YAML::Node& node, const std::string& path, const field_rules& rules);
    bool require_list(const YAML::Node& node, const std::string& path);

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
        if (!require_list(node, path))
            return;
        for (std::size_t i = 0; i < node.size(); ++i)
        {
            Element element{};
            const std::string element_path = path + "[" + std::to_string(i) + "]";
            record_line(node[i], element_path);
            read(node[i], element_path, element, rules);
            value.push_back(std::move(element));
        }
    }

    template <has_field_table Aggregate>
    void read(const YAML::Node& node, const std::string& path, Aggregate& value)
    {
        const auto members = collect_members(node, path);
        if (!members)
            return;
        std::set<std::string_view> known;
        std::set<const void*> given; // Members; some have two keys with different units.
        for_each_field<Aggregate>(
            [&](const auto& description)
            {
                known.insert(description.m_key);
                const std::string member_path = join(path, description.m_key);
                const auto found = members->find(description.m_key);
                if (found == members->end())
                {
                    if (description.m_rules.m_required)
                        add_expected_error(node, member_path, "a value; it is missing");
                    return;
                }
                const YAML::Node& key = found->second.first;
                const YAML::Node& member = found->second.second;
                record_line(key, member_path);
                // yaml-cpp positions an empty value at the next token, so the key gives the line.
                if (!given.insert(&(value.*description.m_member)).second)
                    add_expected_error(key, member_path, "only one of the keys for this value");
                else if (member.IsNull())
                    add_expected_error(key, member_path, "a value; it is empty");
                else
                    read(member, member_path, value.*description.m_member, description.m_rules);
            });
        report_unknown_keys(node, path, known);
    }

    /// Text of the key to the nodes of key and value.
    using node_members = std::map<std::string, std::pair<YAML::Node, YAML::Node>, std::less<>>;
    std::optional<node_members> collect_members(const YAML::Node& node, const std::string& path);
    void report_unknown_keys(
        const YAML::Node& node, const std::string& path, const std::set<std::string_view>& known);
    void record_line(const YAML::Node& node, const std::string& path);
    static std::string join(const std::string& path, std::string_view key);

    std::string m_file_name;
    std::map<std::string, int> m_lines;                ///< Path to line number, counted from 1.
    std::vector<std::pair<int, std::string>> m_errors; ///< Line number and message.
};

} // namespace fulmaryard

#endif
