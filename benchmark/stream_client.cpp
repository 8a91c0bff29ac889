#include "stream_client.hpp"

#include "process/test_system.hpp"

#include <fulmaryard/peer_address.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace fulmaryard::benchmark
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// Timeout of connecting and sending, and of each read. Even at peak load and during a recovery, the
// gap between tokens stays below 1 s.
constexpr std::chrono::seconds io_timeout{5};
constexpr std::chrono::milliseconds reconnection_pause{20};
constexpr std::uint32_t max_reconnections = 100;

enum class connection_end
{
    complete,
    stopped,
    refused,
    failed, ///< The response contains an error event.
    broken, ///< Disconnected or, while parsing events, not ended yet.
};

class stream_reader
{
public:
    stream_reader(const stream_job& job, stream_outcome& outcome) : m_job(job), m_outcome(outcome)
    {
    }

    asio::awaitable<connection_end> run(const std::string& address)
    {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(io_timeout);
        const auto endpoint = *parse_address(address);
        const auto [connect_error] = co_await stream.async_connect(endpoint, use_tuple);
        if (connect_error)
        {
            m_outcome.m_error = "connect: " + connect_error.message();
            co_return connection_end::broken;
        }
        beast::error_code ignored;
        stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto message = make_request(address);
        const auto [write_error, written] = co_await http::async_write(stream, message, use_tuple);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        beast::error_code error = write_error;
        std::string text;
        while (!error && !parser.is_done())
        {
            stream.expires_after(io_timeout);
            const auto [read_error, size] =
                co_await http::async_read_some(stream, buffer, parser, use_tuple);
            error = read_error;
            if (!parser.is_header_done() || parser.get().result_int() != 200)
                continue;
            text += std::exchange(parser.get().body(), {});
            const auto end = read_events(text);
            if (end != connection_end::broken)
                co_return end;
            if (steady::now() > m_job.m_stop_at)
                co_return connection_end::stopped;
        }
        if (parser.is_header_done() && parser.get().result_int() != 200)
        {
            m_outcome.m_error =
                fmt::format("{} {}", parser.get().result_int(), parser.get().body());
            co_return connection_end::refused;
        }
        m_outcome.m_error = "read: " + error.message();
        co_return connection_end::broken;
    }

private:
    http::request<http::string_body> make_request(const std::string& address) const
    {
        http::request<http::string_body> message(http::verb::post, "/v1/chat/completions", 11);
        message.set(http::field::host, address);
        message.set(
            http::field::authorization,
            "Bearer " + process_tests::test_system::bearer(m_job.m_account));
        message.set(http::field::content_type, "application/json");
        message.set("X-Request-Id", m_job.m_request_id);
        if (m_job.m_resumable)
            message.set("X-Fulmaryard-Resumable", "true");
        if (!m_outcome.m_last_id.empty())
            message.set("Last-Event-ID", m_outcome.m_last_id);
        message.keep_alive(false);
        message.body() = fmt::format(
            R"({{"model":"standin-model","stream":true,"max_tokens":{},)"
            R"("messages":[{{"role":"user","content":"{}"}}]}})",
            m_job.m_max_tokens, m_job.m_content);
        message.prepare_payload();
        return message;
    }

    /// Removes complete events from the front of `text` and processes them. Returns `broken` if
    /// none of them ends the stream.
    connection_end read_events(std::string& text)
    {
        std::size_t begin = 0;
        for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", begin))
        {
            const auto result = read_event(std::string_view(text).substr(begin, end - begin));
            begin = end + 2;
            if (result != connection_end::broken)
                return result;
        }
        text.erase(0, begin);
        return connection_end::broken;
    }

    connection_end read_event(std::string_view event)
    {
        std::string_view data;
        std::string_view id;
        while (!event.empty())
        {
            const auto line = event.substr(0, event.find('\n'));
            event.remove_prefix(std::min(event.size(), line.size() + 1));
            if (line.substr(0, 4) == "id: ")
                id = line.substr(4);
            if (line.substr(0, 6) == "data: ")
                data = line.substr(6);
        }
        if (!id.empty())
        {
            m_outcome.m_last_id = std::string(id);
            const auto plan = id.substr(0, id.rfind('.'));
            if (m_outcome.m_plans.empty() || m_outcome.m_plans.back().second != plan)
                m_outcome.m_plans.emplace_back(m_outcome.m_arrivals.size(), plan);
        }
        if (data == "[DONE]")
            return connection_end::complete;
        json::error_code error;
        const json::value chunk = json::parse({data.data(), data.size()}, error);
        if (error || !chunk.is_object())
            return connection_end::broken;
        if (chunk.as_object().contains("error"))
        {
            m_outcome.m_error = std::string(data);
            return connection_end::failed;
        }
        const json::value* const delta = chunk.find_pointer("/choices/0/delta/content", error);
        if (delta == nullptr || !delta->is_string() || delta->get_string().empty())
            return connection_end::broken;
        std::uint32_t index = 0;
        std::from_chars(id.data() + id.rfind('.') + 1, id.data() + id.size(), index);
        if (index <= m_outcome.m_arrivals.size())
        {
            ++m_outcome.m_repeated_tokens;
            return connection_end::broken;
        }
        m_outcome.m_text += std::string_view(delta->get_string());
        m_outcome.m_arrivals.push_back(steady::now());
        return connection_end::broken;
    }

    const stream_job& m_job;
    stream_outcome& m_outcome;
};

} // namespace

asio::awaitable<void>
run_stream(std::shared_ptr<const stream_job> job, std::shared_ptr<stream_outcome> outcome)
{
    outcome->m_account = job->m_account;
    outcome->m_content = job->m_content;
    outcome->m_max_tokens = job->m_max_tokens;
    outcome->m_started = steady::now();
    stream_reader reader(*job, *outcome);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (std::uint32_t attempt = 0;; ++attempt)
    {
        outcome->m_reconnections = attempt;
        const auto& address = job->m_addresses[attempt % job->m_addresses.size()];
        const auto end = co_await reader.run(address);
        const bool accepted = !outcome->m_last_id.empty();
        if (end == connection_end::complete)
            outcome->m_result = stream_result::completed;
        else if (end == connection_end::stopped || (accepted && steady::now() > job->m_stop_at))
            outcome->m_result = stream_result::stopped;
        else if (!accepted)
            outcome->m_result = stream_result::refused;
        else if (end == connection_end::broken && job->m_resumable && attempt < max_reconnections)
        {
            timer.expires_after(reconnection_pause);
            co_await timer.async_wait(use_tuple);
            continue;
        }
        else
            outcome->m_result = stream_result::lost;
        co_return;
    }
}

} // namespace fulmaryard::benchmark
