#ifndef FULMARYARD_REQUEST_READER_HPP
#define FULMARYARD_REQUEST_READER_HPP

#include "connection_registry.hpp"
#include "operation_deadline.hpp"

#include <fulmaryard/request_share.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace fulmaryard
{

/// Reads the requests of one connection of a server. What a request holds is taken from the
/// `request_memory` of the process before it is read. To be used on the executor of the stream.
class request_reader
{
public:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// All arguments have to outlive the object. `max_header_bytes` bounds what is buffered.
    request_reader(
        boost::beast::tcp_stream& stream, operation_deadline& deadline,
        connection_registry& registry, request_memory& memory, std::uint64_t connection,
        std::size_t max_header_bytes);
    ~request_reader();

    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Waits for the first byte of the next request; false if the connection ends before, or is
    /// closed to make room for another one.
    boost::asio::awaitable<bool> wait_for_request(std::chrono::milliseconds time_limit);

    /// Reads one request. Leaves the connection open after an error, so that the error response
    /// can be sent: `beast::error::timeout` after `time_limit` or if the request makes room for
    /// others, `not_enough_memory` if there is no memory for it.
    boost::asio::awaitable<boost::beast::error_code>
    read(request_parser& parser, std::chrono::milliseconds time_limit);

    /// Returns the memory of the last request.
    void release();

private:
    boost::asio::awaitable<boost::beast::error_code> read_parts(request_parser& parser);
    boost::asio::awaitable<boost::beast::error_code> read_some(std::size_t bytes);
    /// Makes room for the body bytes that are buffered and those that are announced.
    boost::asio::awaitable<bool> hold_body(request_parser& parser);
    /// Takes memory, if need be from requests that do not go on; false if there is none.
    boost::asio::awaitable<bool> hold(std::size_t bytes);

    boost::beast::tcp_stream& m_stream;
    operation_deadline& m_deadline;
    connection_registry& m_registry;
    request_share m_share;
    std::uint64_t m_connection;
    std::shared_ptr<connection_registry::connection> m_state;
    boost::beast::flat_buffer m_buffer;
};

} // namespace fulmaryard

#endif
