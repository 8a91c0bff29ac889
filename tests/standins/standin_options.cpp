#include "standin_options.hpp"

#include <fmt/core.h>
#include <getopt.h>

#include <charconv>
#include <cstring>

namespace fulmaryard::standins
{

bool read_options(int count, char** values, const std::vector<standin_option>& options)
{
    std::vector<option> table;
    for (const standin_option& each : options)
    {
        const bool is_flag = std::holds_alternative<bool*>(each.m_target);
        table.push_back(
            {each.m_name, is_flag ? no_argument : required_argument, nullptr,
             static_cast<int>(table.size()) + 1});
    }
    table.push_back({nullptr, 0, nullptr, 0});
    int chosen = 0;
    while ((chosen = getopt_long(count, values, "", table.data(), nullptr)) != -1)
    {
        if (chosen == '?')
            return false; // getopt_long has printed the reason.
        const standin_option& each = options[static_cast<std::size_t>(chosen) - 1];
        if (auto* const* flag = std::get_if<bool*>(&each.m_target))
            **flag = true;
        else if (auto* const* text = std::get_if<std::string*>(&each.m_target))
            **text = optarg;
        else
        {
            const char* end = optarg + std::strlen(optarg);
            const auto result =
                std::from_chars(optarg, end, *std::get<std::uint64_t*>(each.m_target));
            if (result.ec != std::errc() || result.ptr != end)
            {
                fmt::print(stderr, "--{} needs a number\n", each.m_name);
                return false;
            }
        }
    }
    if (optind != count)
    {
        fmt::print(stderr, "unexpected argument {}\n", values[optind]);
        return false;
    }
    return true;
}

} // namespace fulmaryard::standins
