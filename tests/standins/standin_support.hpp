#ifndef FULMARYARD_STANDIN_SUPPORT_HPP
#define FULMARYARD_STANDIN_SUPPORT_HPP

#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fulmaryard::standins
{

/// A response with a JSON body.
http_response json_response(unsigned status, const boost::json::value& body);

/// `{"error": message}`.
http_response error_response(unsigned status, std::string_view message);

/// Parses a JSON object; empty for anything else.
std::optional<boost::json::object> parse_object(std::string_view text);

/// Member of an object; the fallback, "" or false when it is absent or of another type.
std::uint64_t
number_of(const boost::json::object& object, std::string_view name, std::uint64_t fallback);
double real_of(const boost::json::object& object, std::string_view name, double fallback);
std::string text_of(const boost::json::object& object, std::string_view name);
bool flag_of(const boost::json::object& object, std::string_view name);

/// Formats a value as 16 hexadecimal digits and parses it; empty for any other `text`.
std::string to_hex(std::uint64_t value);
std::optional<std::uint64_t> from_hex(std::string_view text);

/// Decodes %XX in a path.
std::string decode_path(std::string_view path);

boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds time);

/// Waits for `timer` and returns early when the client closes its connection. Returns true if the
/// client is still there.
boost::asio::awaitable<bool>
wait_with_client(http_exchange& exchange, std::shared_ptr<boost::asio::steady_timer> timer);

/// Keeps the connection open without an answer until the client closes it.
boost::asio::awaitable<void> never_answer(http_exchange& exchange);

/// Blocks the calling thread for at most 10 minutes. A stand-in has only one thread, so that it
/// answers nothing, like a stopped process.
void pause_process(std::uint64_t ms);

/// Listens, prints "listening PORT" on standard output and serves until SIGTERM or SIGINT. Does not
/// return: ends the process without destroying suspended requests. All handlers run on one thread.
[[noreturn]] void serve(
    boost::asio::io_context& io, const std::string& address, http_server::handler on_request,
    http_server::upgrade_handler on_upgrade = nullptr);

} // namespace fulmaryard::standins

#endif
