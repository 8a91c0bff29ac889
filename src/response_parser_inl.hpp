#ifndef FULMARYARD_RESPONSE_PARSER_INL_HPP
#define FULMARYARD_RESPONSE_PARSER_INL_HPP

#include <fulmaryard/http_message.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace fulmaryard
{

/// Parser of HTTP/1.1 responses, with the interface of Beast's `http::response_parser`.
/// `endpoint_channel` and `http_client` read all responses with it.
///
/// Also rejects what Beast accepts:
/// - a status code outside 100 to 599 (RFC 9110, section 15), with `bad_status`;
/// - a field value that continues on the next line, with `bad_obs_fold`. RFC 9112, section 5.2, has
///   a gateway either discard such a response or change the value.
template <typename Body>
class response_parser : public boost::beast::http::basic_parser<false>
{
public:
    using value_type = boost::beast::http::response<Body>;

    response_parser() : m_reader(m_message.base(), m_message.body()) {}

    /// The response, of which parts may be incomplete.
    value_type& get() { return m_message; }
    const value_type& get() const { return m_message; }

    value_type release() { return std::move(m_message); }

private:
    using error_code = boost::beast::error_code;
    using error = boost::beast::http::error;
    using field = boost::beast::http::field;
    using string_view = boost::beast::string_view;

    /// Whether the value of a field continues on the next line. Beast passes on the joined value,
    /// but `name` is a view of the received bytes: the rest of the line and at least one byte of
    /// the next one follow it.
    static bool is_folded(string_view name)
    {
        const char* end_of_line = name.data() + name.size();
        while (*end_of_line != '\r')
            ++end_of_line;
        const char next = end_of_line[2];
        return next == ' ' || next == '\t';
    }

    void on_request_impl(
        boost::beast::http::verb /*method*/, string_view /*method_string*/, string_view /*target*/,
        int /*version*/, error_code& /*result*/) override
    {
    }

    void on_response_impl(int code, string_view reason, int version, error_code& result) override
    {
        const auto status = static_cast<unsigned>(code);
        if (!is_status_code(status))
        {
            result = error::bad_status;
            return;
        }
        m_message.result(status);
        m_message.reason(reason);
        m_message.version(static_cast<unsigned>(version));
    }

    void on_field_impl(
        field name, string_view name_string, string_view value, error_code& result) override
    {
        if (is_folded(name_string))
            result = error::bad_obs_fold;
        else
            m_message.insert(name, name_string, value);
    }

    void on_header_impl(error_code& /*result*/) override {}

    void on_body_init_impl(
        const boost::optional<std::uint64_t>& content_length, error_code& result) override
    {
        m_reader.init(content_length, result);
    }

    std::size_t on_body_impl(string_view body, error_code& result) override
    {
        return m_reader.put(boost::asio::buffer(body.data(), body.size()), result);
    }

    void on_chunk_header_impl(
        std::uint64_t /*size*/, string_view /*extensions*/, error_code& /*result*/) override
    {
    }

    std::size_t
    on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body, error_code& result) override
    {
        return m_reader.put(boost::asio::buffer(body.data(), body.size()), result);
    }

    void on_finish_impl(error_code& result) override { m_reader.finish(result); }

    value_type m_message;
    typename Body::reader m_reader;
};

} // namespace fulmaryard

#endif
