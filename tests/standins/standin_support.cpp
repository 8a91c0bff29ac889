#include "standin_support.hpp"

#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace fulmaryard::standins
{

namespace asio = boost::asio;
namespace json = boost::json;

http_response json_response(unsigned status, const json::value& body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

http_response error_response(unsigned status, std::string_view message)
{
    return json_response(status, {{"error", message}});
}

std::optional<json::object> parse_object(std::string_view text)
{
    json::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::uint64_t number_of(const json::object& object, std::string_view name, std::uint64_t fallback)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr)
        return fallback;
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? fallback : number;
}

double real_of(const json::object& object, std::string_view name, double fallback)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr)
        return fallback;
    json::error_code error;
    const auto number = value->to_number<double>(error);
    return error ? fallback : number;
}

std::string text_of(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->get_string().data(), value->get_string().size());
}

bool flag_of(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::string to_hex(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

std::optional<std::uint64_t> from_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != 16 || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string decode_path(std::string_view path)
{
    std::string decoded;
    for (std::size_t index = 0; index < path.size(); ++index)
    {
        unsigned char byte = 0;
        const char* digits = path.data() + index + 1;
        if (path[index] == '%' && path.size() - index > 2 &&
            std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2)
        {
            decoded += static_cast<char>(byte);
            index += 2;
        }
        else
            decoded += path[index];
    }
    return decoded;
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(use_tuple);
}

asio::awaitable<bool>
wait_with_client(http_exchange& exchange, std::shared_ptr<asio::steady_timer> timer)
{
    const auto gone = std::make_shared<bool>(false);
    exchange.watch_for_disconnect(
        [timer, gone]
        {
            *gone = true;
            timer->cancel();
        });
    co_await timer->async_wait(use_tuple);
    co_return !*gone;
}

asio::awaitable<void> never_answer(http_exchange& exchange)
{
    co_await wait_with_client(
        exchange, std::make_shared<asio::steady_timer>(
                      exchange.executor(), asio::steady_timer::time_point::max()));
    exchange.abort_connection();
}

void pause_process(std::uint64_t ms)
{
    constexpr std::uint64_t longest_ms = 600'000;
    std::this_thread::sleep_for(std::chrono::milliseconds(std::min(ms, longest_ms)));
}

void serve(
    asio::io_context& io, const std::string& address, http_server::handler on_request,
    http_server::upgrade_handler on_upgrade)
{
    http_server_limits limits;
    // Large enough for an object value of 1 MB and for exported KV state.
    limits.m_max_body_bytes = 2 * 1024 * 1024;
    limits.m_idle_deadline = std::chrono::hours(1);
    http_server server(io, limits, std::move(on_request), std::move(on_upgrade));
    const auto port = server.listen(address);
    if (!port.ok())
    {
        fmt::print(stderr, "{}\n", message_of(port.status()));
        std::_Exit(1);
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    fmt::print("listening {}\n", *port);
    std::fflush(stdout);
    io.run();
    std::_Exit(0);
}

} // namespace fulmaryard::standins
