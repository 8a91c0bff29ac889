#ifndef FULMARYARD_HTTP_CONVERSION_INL_HPP
#define FULMARYARD_HTTP_CONVERSION_INL_HPP

#include <fulmaryard/http_message.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fulmaryard
{

template <typename Fields>
std::vector<http_field> copy_fields(const Fields& source)
{
    std::vector<http_field> fields;
    for (const auto& field : source)
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return fields;
}

template <typename Message>
void set_fields(Message& message, const std::vector<http_field>& fields)
{
    for (const auto& field : fields)
        message.set(field.m_name, field.m_value);
}

} // namespace fulmaryard

#endif
