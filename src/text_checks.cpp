#include "text_checks.hpp"

#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/peer_address.hpp>

#include <algorithm>

namespace fulmaryard
{

namespace
{

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && is_alphanumeric(text.front()) &&
           std::all_of(
               text.begin(), text.end(),
               [](char c) { return is_alphanumeric(c) || c == '.' || c == '-' || c == '_'; });
}

} // namespace

const char* check_name(std::string_view text)
{
    return is_name(text) ? nullptr
                         : "a name of 1 to 64 letters, digits, '.', '-' or '_', beginning with a "
                           "letter or digit";
}

const char* check_administrator(std::string_view text)
{
    return is_name(text) && text.find('.') == std::string_view::npos
               ? nullptr
               : "a name of 1 to 64 letters, digits, '-' or '_', beginning with a letter or digit";
}

const char* check_tenant(std::string_view text)
{
    return text == "*" || is_name(text) ? nullptr : "a tenant's name or \"*\"";
}

const char* check_address(std::string_view text)
{
    const auto endpoint = parse_address(text);
    return endpoint.ok() && endpoint->port() != 0 ? nullptr : "an address IP:PORT";
}

const char* check_key_hash(std::string_view text)
{
    return is_key_hash(text)
               ? nullptr
               : "a key hash sha256:SALT_HEX:DIGEST_HEX as 'fulmaryard check --hash-key' prints it";
}

const char* check_path(std::string_view text)
{
    const bool valid =
        !text.empty() && text.size() <= 1024 && text.front() == '/' &&
        std::all_of(
            text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != '?'; });
    return valid ? nullptr : "a path that begins with \"/\", without query";
}

const char* check_method(std::string_view text)
{
    for (const std::string_view method :
         {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
    {
        if (text == method)
            return nullptr;
    }
    return "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";
}

const char* check_log_level(std::string_view text)
{
    return text == "debug" || text == "info" || text == "warning" || text == "error"
               ? nullptr
               : "one of debug, info, warning, error";
}

const char* check_planner(std::string_view text)
{
    return text == "least_wait" || text == "round_robin" ? nullptr
                                                         : "one of least_wait, round_robin";
}

const char* check_recovery(std::string_view text)
{
    return text == "rebuild_stage" || text == "restart" ? nullptr : "one of rebuild_stage, restart";
}

} // namespace fulmaryard
