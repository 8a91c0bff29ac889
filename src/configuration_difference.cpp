#include "configuration_fields.hpp"
#include "json_fields_inl.hpp"

#include <fulmaryard/configuration_difference.hpp>

#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <map>
#include <string_view>

namespace fulmaryard
{

namespace
{

/// Maps elements by name, or by position if their type has no name.
template <typename Element>
std::map<std::string, const Element*> map_by_name(const std::vector<Element>& elements)
{
    std::map<std::string, const Element*> found;
    for (std::size_t i = 0; i < elements.size(); ++i)
    {
        if constexpr (requires { elements[i].m_name; })
            found.emplace(elements[i].m_name, &elements[i]);
        else
            found.emplace(std::to_string(i), &elements[i]);
    }
    return found;
}

template <typename Element>
void compare_fields(
    const Element& from, const Element& to, const std::string& element_path,
    std::vector<std::string>& lines)
{
    for_each_field<Element>(
        [&](const auto& description)
        {
            const auto& old_value = from.*description.m_member;
            const auto& new_value = to.*description.m_member;
            if (old_value == new_value)
                return;
            if (description.m_rules.m_check == check_key_hash)
            {
                lines.push_back(fmt::format("~ {} {}: changed", element_path, description.m_key));
                return;
            }
            lines.push_back(fmt::format(
                "~ {} {}: {} -> {}", element_path, description.m_key,
                json::serialize(to_json(old_value)), json::serialize(to_json(new_value))));
        });
}

template <typename Element>
void compare_lists(
    const std::vector<Element>& from, const std::vector<Element>& to, std::string_view list,
    std::vector<std::string>& lines)
{
    const auto old_elements = map_by_name(from);
    const auto new_elements = map_by_name(to);
    for (const auto& [name, element] : old_elements)
    {
        if (!new_elements.contains(name))
            lines.push_back(fmt::format("- {}/{}", list, name));
    }
    for (const auto& [name, element] : new_elements)
    {
        const auto old_element = old_elements.find(name);
        const std::string element_path = fmt::format("{}/{}", list, name);
        if (old_element == old_elements.end())
            lines.push_back("+ " + element_path);
        else
            compare_fields(*old_element->second, *element, element_path, lines);
    }
}

} // namespace

std::vector<std::string>
configuration_difference(const tenant_configuration& from, const tenant_configuration& to)
{
    std::vector<std::string> lines;
    for_each_field<tenant_configuration>(
        [&](const auto& description)
        {
            const auto& old_value = from.*description.m_member;
            const auto& new_value = to.*description.m_member;
            if constexpr (requires { compare_lists(old_value, new_value, "", lines); })
                compare_lists(old_value, new_value, description.m_key, lines);
        });
    return lines;
}

} // namespace fulmaryard
