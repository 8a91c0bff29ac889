#include "use_tuple_inl.hpp"

#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/endpoint_call.hpp>
#include <fulmaryard/endpoint_channel.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

using namespace fulmaryard;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr auto read_deadline = 10s;

/// Server that answers one request with `m_bytes`, with a pause after the first `m_split_at`, and
/// closes the connection.
struct fixed_response_server
{
    fixed_response_server(asio::io_context& io, std::string bytes, std::size_t split_at)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          m_bytes(std::move(bytes)),
          m_split_at(split_at)
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    asio::awaitable<void> serve()
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        std::string received;
        co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), "\r\n\r\n", use_tuple);
        socket.set_option(asio::ip::tcp::no_delay(true));
        co_await asio::async_write(socket, asio::buffer(m_bytes.data(), m_split_at), use_tuple);
        if (m_split_at < m_bytes.size())
        {
            // Lets the client read the first part alone.
            asio::steady_timer timer(m_acceptor.get_executor(), 1ms);
            co_await timer.async_wait(use_tuple);
            co_await asio::async_write(
                socket, asio::buffer(m_bytes.data() + m_split_at, m_bytes.size() - m_split_at),
                use_tuple);
        }
        boost::system::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_bytes;
    std::size_t m_split_at;
};

using read_result = absl::StatusOr<http_response>;

/// Reads one response over a channel, as sessions do.
asio::awaitable<void> read_with_channel(asio::io_context& io, std::string address, read_result& out)
{
    const auto end = std::chrono::steady_clock::now() + read_deadline;
    endpoint_channel channel(io.get_executor());
    const http_request request{"GET", "/", {}, {}};
    auto status = co_await channel.connect(address, end);
    if (status.ok())
        status = co_await channel.send(request, end);
    if (status.ok())
        out = co_await channel.read_head(end);
    else
        out = status;
    for (bool more = out.ok(); more;)
    {
        const auto part = co_await channel.read_body(out->m_body, end);
        more = part.ok() && *part;
        if (!part.ok())
            out = part.status();
    }
}

/// Reads one response with the client of side processes, of the store and of operators.
asio::awaitable<void> read_with_client(asio::io_context& io, std::string address, read_result& out)
{
    http_client client(io.get_executor(), address, 0);
    http_request request{"GET", "/", {}, {}};
    out = co_await client.send(std::move(request), read_deadline);
}

/// Reads one response as load reports and answers to orders are read.
asio::awaitable<void>
read_with_endpoint_call(asio::io_context& io, std::string address, read_result& out)
{
    channel_pool channels(io.get_executor());
    http_request request{"GET", "/", {}, {}};
    out = co_await call_endpoint(channels, address, std::move(request), read_deadline);
}

struct reader
{
    const char* m_name;
    asio::awaitable<void> (*m_read)(asio::io_context&, std::string, read_result&);
};

constexpr std::array readers{
    reader{"endpoint_channel", &read_with_channel}, reader{"http_client", &read_with_client},
    reader{"call_endpoint", &read_with_endpoint_call}};

/// Returns what `with` makes of a response that arrives in two parts, the first of `split_at`
/// bytes.
read_result
read(const reader& with, const std::string& bytes, std::size_t split_at = std::string::npos)
{
    asio::io_context io;
    fixed_response_server server(io, bytes, std::min(split_at, bytes.size()));
    read_result result = absl::UnknownError("not read");
    bool done = false;
    asio::co_spawn(
        io, with.m_read(io, server.address(), result),
        [&done](const std::exception_ptr&) { done = true; });
    while (!done)
        io.run_one();
    return result;
}

/// Requires that every reader rejects the response for `reason`, as it does with bytes that are not
/// HTTP: the request may have run.
void check_rejected(
    const std::string& bytes, std::string_view reason, std::size_t split_at = std::string::npos)
{
    for (const auto& with : readers)
    {
        CAPTURE(with.m_name);
        CAPTURE(bytes);
        const auto result = read(with, bytes, split_at);
        CHECK_FALSE(result.ok());
        if (result.ok())
            continue;
        CHECK(kind_of(result.status()) == failure_kind::endpoint_lost);
        CHECK(outcome_of(result.status()) == outcome::unknown);
        CHECK(message_of(result.status()) == reason);
    }
}

/// Requires that every reader returns a response with `status` and `body`, and with `field` if it
/// has a name.
void check_accepted(
    const std::string& bytes, unsigned status, std::string_view body, const http_field& field = {})
{
    for (const auto& with : readers)
    {
        CAPTURE(with.m_name);
        CAPTURE(bytes);
        const auto result = read(with, bytes);
        REQUIRE(result.ok());
        CHECK(result->m_status == status);
        CHECK(result->m_body == body);
        if (!field.m_name.empty())
            CHECK(find_field(result->m_fields, field.m_name) == field.m_value);
    }
}

const std::string body_of_four = "Content-Length: 4\r\n\r\ndone";

/// The rest of a response after its other fields, for each way to delimit its body.
const std::array<std::string, 4> framings{
    body_of_four, "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", "\r\ndone", "\r\n"};

std::string with_status(std::string_view code, std::string_view rest = body_of_four)
{
    return fmt::format("HTTP/1.1 {} Some Reason\r\n{}", code, rest);
}

/// A response with `lines` in its header.
std::string with_lines(std::string_view lines, std::string_view rest = body_of_four)
{
    return fmt::format("HTTP/1.1 200 OK\r\n{}{}", lines, rest);
}

/// A response after a provisional one with `lines` in its header.
std::string with_lines_before(std::string_view lines)
{
    return fmt::format("HTTP/1.1 103 Early Hints\r\n{}\r\n{}", lines, with_lines(""));
}

/// A response with `lines` in its trailer section.
std::string with_trailers(std::string_view lines)
{
    return with_lines(
        "", fmt::format("Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n{}\r\n", lines));
}

} // namespace

TEST_SUITE_BEGIN("reported_faults");

TEST_CASE("bytes that are not HTTP are rejected")
{
    // The failure that the cases below compare with.
    check_rejected("garbage garbage\r\n\r\n", "bad version");
}

TEST_CASE("status codes of responses")
{
    // Guards against a response without a valid status code that reaches a caller.

    SUBCASE("of three digits are accepted from 100 to 599 only")
    {
        for (unsigned code = 0; code < 1000; ++code)
        {
            CAPTURE(code);
            const auto digits = fmt::format("{:03}", code);
            const bool bodiless = code == 204 || code == 304;
            if (code < 100 || code >= 600)
                check_rejected(with_status(digits), "bad status");
            else if (code < 200)
                check_accepted(with_status(digits, "\r\n") + with_lines(""), 200, "done");
            else
                check_accepted(with_status(digits), code, bodiless ? "" : "done");
        }
    }

    SUBCASE("are checked however the body is delimited")
    {
        for (const auto& framing : framings)
        {
            for (const auto* const code : {"000", "099", "600", "999"})
                check_rejected(with_status(code, framing), "bad status");
        }
    }

    SUBCASE("are checked without a reason phrase and in HTTP/1.0")
    {
        check_rejected("HTTP/1.1 000 \r\n" + body_of_four, "bad status");
        check_rejected("HTTP/1.0 000 OK\r\n" + body_of_four, "bad status");
    }

    SUBCASE("are rejected unless they have three digits")
    {
        for (const auto* const code :
             {"", "2", "20", "2000", "0200", "2x0", "+20", "-20", "2.0", "0x0", " 200", "\t200"})
            check_rejected(with_status(code), "bad status");
    }

    SUBCASE("are checked after provisional responses")
    {
        check_rejected(with_status("100", "\r\n") + with_status("000"), "bad status");
    }
}

TEST_CASE("folded header lines of responses")
{
    // Guards against a field whose value is not the one that was sent.

    SUBCASE("are rejected")
    {
        for (const auto* const folded :
             {"X: a\r\n b\r\n", "X: a\r\n\tb\r\n", "X: a\r\n    \t b\r\n", "X:\r\n b\r\n",
              "X: \t\r\n \t\r\n b\r\n", "X: a\r\n \r\n", "X: a\r\n b\r\n c\r\n",
              "X: a\r\n Y: b\r\n", "X: a\r\n : b\r\n", "Content-Type:\r\n text/plain\r\n"})
        {
            check_rejected(with_lines(folded), "bad obs-fold");
            check_rejected(with_lines(fmt::format("Y: c\r\n{}", folded)), "bad obs-fold");
        }
        check_rejected(
            with_lines("Content-Length: 4\r\nX: a\r\n b\r\n", "\r\ndone"), "bad obs-fold");
    }

    SUBCASE("are rejected for the fields that delimit the body")
    {
        check_rejected(with_lines("Content-Length:\r\n 4\r\n", "\r\ndone"), "bad obs-fold");
        check_rejected(with_lines("Content-Length: 4\r\n \r\n", "\r\ndone"), "bad obs-fold");
        check_rejected(
            with_lines("Transfer-Encoding:\r\n\tchunked\r\n", "\r\n4\r\ndone\r\n0\r\n\r\n"),
            "bad obs-fold");
    }

    SUBCASE("are rejected however the body is delimited")
    {
        for (const auto& framing : framings)
            check_rejected(with_lines("X: a\r\n b\r\n", framing), "bad obs-fold");
    }

    SUBCASE("are rejected wherever their bytes are split")
    {
        const auto bytes = with_lines("X: a\r\n b\r\n");
        for (auto split_at = bytes.find("X: a"); split_at < bytes.size(); ++split_at)
        {
            CAPTURE(split_at);
            check_rejected(bytes, "bad obs-fold", split_at);
        }
    }

    SUBCASE("are rejected in provisional responses and trailers")
    {
        check_rejected(with_lines_before("X: a\r\n b\r\n"), "bad obs-fold");
        check_rejected(with_trailers("X: a\r\n b\r\n"), "bad obs-fold");
    }
}

TEST_CASE("field names of responses")
{
    // Guards against a response in whose field names a reader sees something else than its sender.

    SUBCASE("consist of token characters")
    {
        constexpr std::string_view token_characters =
            "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
        for (int byte = 0; byte < 256; ++byte)
        {
            const char character = static_cast<char>(byte);
            if (character == ':') // Ends the name.
                continue;
            CAPTURE(byte);
            const auto name = fmt::format("X{}Y", character);
            const auto bytes = with_lines(fmt::format("{}: value\r\n", name));
            if (token_characters.find(character) != std::string_view::npos)
            {
                check_accepted(bytes, 200, "done", {name, "value"});
                continue;
            }
            check_rejected(bytes, "bad field");
            check_rejected(with_lines(fmt::format("XY{}: value\r\n", character)), "bad field");
        }
    }

    SUBCASE("are checked for the fields that delimit the body")
    {
        for (const auto* const separator : {" ", "\t", "\x01", "\x7f", "\x80"})
        {
            check_rejected(
                with_lines(fmt::format("Content-Length{}: 4\r\n", separator), "\r\ndone"),
                "bad field");
            check_rejected(
                with_lines(
                    fmt::format("Transfer-Encoding{}: chunked\r\n", separator),
                    "\r\n4\r\ndone\r\n0\r\n\r\n"),
                "bad field");
        }
    }

    SUBCASE("are checked in provisional responses and trailers")
    {
        check_rejected(with_lines_before("X Y: value\r\n"), "bad field");
        check_rejected(with_trailers("X : value\r\n"), "bad field");
    }

    SUBCASE("are not empty")
    {
        check_rejected(with_lines(": value\r\n"), "bad field");
    }

    SUBCASE("do not begin the first line with a blank")
    {
        check_rejected(with_lines(" X: value\r\n"), "bad field");
    }
}

TEST_CASE("unusual but valid responses are accepted")
{
    // Guards against checks that reject more than the standard does.
    const auto accept_value = [](std::string_view line, const std::string& value) {
        check_accepted(with_lines(fmt::format("{}\r\n", line)), 200, "done", {"X", value});
    };
    accept_value("X: \t value \t ", "value");
    accept_value("X:value", "value");
    accept_value("X:", "");
    accept_value("X: \t ", "");
    accept_value("X: a \t b", "a \t b");
    accept_value("X: \x80\xe2\x82\xac\xff", "\x80\xe2\x82\xac\xff");
    accept_value("X: a\r\nX: b", "a");
    const std::string long_value(6'000, 'v');
    accept_value("X: " + long_value, long_value);
    std::string fields;
    for (int i = 0; i < 50; ++i)
        fields += fmt::format("X-{}: {}\r\n", i, std::string(100, 'v'));
    check_accepted(with_lines(fields), 200, "done", {"X-49", std::string(100, 'v')});
    check_accepted("HTTP/1.1 200 \r\n" + body_of_four, 200, "done");
    check_accepted("HTTP/1.0 200 \x80\xff\treason\r\n" + body_of_four, 200, "done");
    check_accepted(with_status("100", "\r\n") + with_lines_before("X: a\r\n"), 200, "done");
    check_accepted(with_trailers("Trailer-Field: value\r\n"), 200, "done");
    check_accepted(
        with_lines(
            "Transfer-Encoding: chunked\r\n",
            "\r\n4;name=value;quoted=\"a b\"\r\ndone\r\n0\r\n\r\n"),
        200, "done");
    check_accepted(with_lines("", "\r\ndone"), 200, "done");
    check_accepted("HTTP/1.1 204 No Content\r\n\r\n", 204, "");
}

TEST_SUITE_END();
