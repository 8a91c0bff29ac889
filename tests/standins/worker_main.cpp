// Stand-in for an application worker: order and seat services with injected faults.

#include "fault_set.hpp"
#include "standin_options.hpp"
#include "standin_support.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <deque>
#include <tuple>

using namespace fulmaryard;
using namespace fulmaryard::standins;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

class worker_standin
{
public:
    asio::awaitable<void> answer(http_exchange& exchange);

private:
    // Bounds memory in long runs; tests stay far below it.
    static constexpr std::size_t journal_limit = 200'000;

    struct call
    {
        std::string m_method;
        std::string m_path;
        std::string m_key;
        bool m_effect;
    };

    http_response control(const http_request& request, std::string_view path);
    http_response handle_request(const http_request& request, std::string_view path);
    http_response create(const http_request& request, std::string_view path);
    json::object journal() const;
    void record(const http_request& request, std::string_view path, bool effect);

    fault_set m_faults;
    std::uint64_t m_last_connection{0};
    std::uint64_t m_next_number{1};
    json::array m_orders;
    json::array m_seats;
    std::deque<call> m_journal;
    std::uint64_t m_journal_dropped{0};
};

std::string key_of(const http_request& request)
{
    return std::string(find_field(request.m_fields, "Idempotency-Key").value_or(""));
}

asio::awaitable<void> worker_standin::answer(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string path = decode_path(target_path(request.m_target));
    if (path == "/faults" || path == "/journal")
    {
        std::ignore = co_await exchange.respond(control(request, path));
        co_return;
    }
    m_last_connection = std::max(m_last_connection, exchange.connection());
    const auto now = fault_set::clock::now();
    if (const auto delay = m_faults.take_delay(path, now); delay.count() > 0)
        co_await sleep_for(delay);
    if (m_faults.silent(exchange.connection()))
    {
        co_await never_answer(exchange);
        co_return;
    }
    if (m_faults.take("fail", path, now))
    {
        record(request, path, false);
        std::ignore = co_await exchange.respond(error_response(500, "failed before effect"));
        co_return;
    }
    http_response response = handle_request(request, path);
    if (m_faults.take("close", path, now))
    {
        exchange.abort_connection();
        co_return;
    }
    std::ignore = co_await exchange.respond(std::move(response));
}

http_response worker_standin::control(const http_request& request, std::string_view path)
{
    if (path == "/journal")
    {
        if (request.m_method == "DELETE")
        {
            m_journal.clear();
            m_journal_dropped = 0;
        }
        return json_response(200, journal());
    }
    if (request.m_method == "DELETE")
    {
        m_faults.clear();
        return json_response(200, json::object());
    }
    const auto description = parse_object(request.m_body);
    if (!description)
        return error_response(400, "not a JSON object");
    if (text_of(*description, "kind") == "pause")
    {
        pause_process(number_of(*description, "ms", 0));
        return json_response(200, json::object());
    }
    if (!m_faults.add(
            *description, {"delay", "fail", "close", "silent"}, fault_set::clock::now(),
            m_last_connection))
    {
        return error_response(400, "unknown kind or too many faults");
    }
    return json_response(200, json::object());
}

http_response worker_standin::handle_request(const http_request& request, std::string_view path)
{
    if (path == "/orders" && request.m_method == "POST")
        return create(request, path);
    if (path == "/seats/confirm" && request.m_method == "POST")
        return create(request, path);
    const bool read = request.m_method == "GET";
    record(request, path, false);
    if (read && path == "/orders")
        return json_response(200, {{"orders", m_orders}, {"seats", m_seats}});
    constexpr std::string_view catalog = "/catalog/";
    if (read && path.substr(0, catalog.size()) == catalog)
    {
        const std::string_view name = path.substr(catalog.size());
        return json_response(200, {{"name", name}, {"price_cents", 100 + name.size() * 25}});
    }
    return error_response(404, "no such resource");
}

http_response worker_standin::create(const http_request& request, std::string_view path)
{
    json::array& records = path == "/orders" ? m_orders : m_seats;
    const auto body = parse_object(request.m_body);
    if (!body || records.size() >= journal_limit)
    {
        record(request, path, false);
        return body ? error_response(503, "full") : error_response(400, "not a JSON object");
    }
    // Repeated keys are not deduplicated: at-most-once delivery is the router's task, and the test
    // counts the effects here.
    const std::string key = key_of(request);
    const json::object created{{"number", m_next_number++}, {"idempotency_key", key}};
    json::object entry = created;
    entry["body"] = *body;
    records.push_back(std::move(entry));
    record(request, path, true);
    return json_response(201, created);
}

json::object worker_standin::journal() const
{
    json::array calls;
    for (const call& each : m_journal)
    {
        calls.push_back(
            {{"method", each.m_method},
             {"path", each.m_path},
             {"idempotency_key", each.m_key},
             {"effect", each.m_effect}});
    }
    return {{"calls", std::move(calls)}, {"dropped", m_journal_dropped}};
}

void worker_standin::record(const http_request& request, std::string_view path, bool effect)
{
    m_journal.push_back({request.m_method, std::string(path), key_of(request), effect});
    if (m_journal.size() > journal_limit)
    {
        m_journal.pop_front();
        ++m_journal_dropped;
    }
}

} // namespace

int main(int count, char** values)
{
    std::string listen = "127.0.0.1:0";
    if (!read_options(count, values, {{"listen", &listen}}))
        return 2;
    asio::io_context io(1);
    worker_standin worker;
    serve(
        io, listen,
        [&worker](http_exchange& exchange) -> asio::awaitable<void>
        { return worker.answer(exchange); });
}
