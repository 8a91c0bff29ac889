#include <fulmaryard/http_message.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace fulmaryard
{

namespace
{

/// Decodes `%XX` and `+`. Keeps a `%` without two hexadecimal digits after it unchanged.
std::string percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ptr ==
                text.data() + i + 3)
        {
            decoded += static_cast<char>(byte);
            i += 2;
        }
        else
            decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

std::optional<std::string_view>
find_field(const std::vector<http_field>& fields, std::string_view name)
{
    for (const auto& field : fields)
    {
        if (boost::beast::iequals(field.m_name, name))
            return field.m_value;
    }
    return std::nullopt;
}

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name)
{
    const auto query_start = target.find('?');
    if (query_start == std::string_view::npos)
        return std::nullopt;
    std::string_view remaining = target.substr(query_start + 1);
    while (!remaining.empty())
    {
        const std::string_view pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(pair.size() + 1, remaining.size()));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        if (equals == std::string_view::npos)
            return std::string();
        return percent_decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace fulmaryard
