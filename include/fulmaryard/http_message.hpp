#ifndef FULMARYARD_HTTP_MESSAGE_HPP
#define FULMARYARD_HTTP_MESSAGE_HPP

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// One HTTP header field.
struct http_field
{
    std::string m_name;
    std::string m_value;

    friend auto operator<=>(const http_field&, const http_field&) = default;
};

/// An HTTP request. Uses no Beast types, so that filters and tests need no networking headers.
struct http_request
{
    std::string m_method; ///< "GET", "POST", ...
    std::string m_target; ///< Path and query, as received.
    std::vector<http_field> m_fields;
    std::string m_body;

    friend auto operator<=>(const http_request&, const http_request&) = default;
};

/// An HTTP response.
struct http_response
{
    unsigned m_status{200};
    std::vector<http_field> m_fields;
    std::string m_body;

    friend auto operator<=>(const http_response&, const http_response&) = default;
};

/// Whether a response may have this status code (RFC 9110, section 15).
constexpr bool is_status_code(unsigned status)
{
    return status >= 100 && status < 600;
}

/// Returns the value of the first field whose name equals `name`, ignoring case; nullopt if there
/// is none. The view points into `fields`.
std::optional<std::string_view>
find_field(const std::vector<http_field>& fields, std::string_view name);

/// Returns the path of a request target, without the query. The view points into `target`.
std::string_view target_path(std::string_view target);

/// Returns the percent-decoded value of the first query parameter called `name`: empty for a
/// parameter without a value, nullopt if there is none. A `+` is decoded as a space.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

} // namespace fulmaryard

#endif
