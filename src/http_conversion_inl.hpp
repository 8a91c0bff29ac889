#ifndef FULMARYARD_HTTP_CONVERSION_INL_HPP
#define FULMARYARD_HTTP_CONVERSION_INL_HPP

#include <fulmaryard/http_message.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fulmaryard
{

/// Number of provisional responses that may precede the response to a request.
constexpr int max_provisional_responses = 8;

/// Whether a response with this status only announces the actual response.
constexpr bool is_provisional(unsigned status)
{
    return status >= 100 && status < 200;
}

/// Copies the header fields of a Beast message.
template <typename Fields>
std::vector<http_field> copy_fields(const Fields& source)
{
    std::vector<http_field> fields;
    for (const auto& field : source)
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return fields;
}

/// Sets the header fields of a Beast message. Of several fields with the same name, only the last
/// one remains.
template <typename Message>
void set_fields(Message& message, const std::vector<http_field>& fields)
{
    for (const auto& field : fields)
        message.set(field.m_name, field.m_value);
}

} // namespace fulmaryard

#endif
