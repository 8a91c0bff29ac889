// A stream that ends with its connection, at a worker that falls silent for a moment at its end.

#include "../standins-2/standins.hpp"

using namespace review;

namespace
{

constexpr int events = 5;
constexpr int event_interval_ms = 50;
constexpr int reading_ms = 150; ///< Until a worker has read the prompt.

/// Silence of the worker between its last event and the end of its answer, and of its reports after
/// that. Together less than a second and a half.
constexpr int silence_ms = 1'220;
constexpr int report_silence_ms = 220;

std::atomic<std::int64_t> silent_until{0};

/// A worker of a service without an engine, whose streams have neither a length nor chunks.
void serve_worker(connection& from, const char* name)
{
    while (const auto call = read_request(from))
    {
        if (call->m_target == "/report")
        {
            while (unix_ms() < silent_until)
                sleep_ms(5);
            from.send(answer(200, R"({"seq":0,"busy":false,"running":0})", "", "application/json"));
            continue;
        }
        const auto id = call->id();
        if (call->m_target == "/order/x")
        {
            record::line("worker %s runs %s", name, id.c_str());
            std::string fields = "Fulmaryard-Attempt-Id: ";
            fields += id;
            fields += "\r\nFulmaryard-Response-Signature: s\r\n";
            from.send(answer(200, "done " + id, fields));
            continue;
        }
        const auto after = header(call->m_head, "Last-Event-Id");
        int event = after.empty() ? 0 : std::atoi(after.c_str());
        record::line("worker %s runs %s after event %d", name, id.c_str(), event);
        const std::string head = success_head(id, "Content-Type: text/event-stream\r\n");
        if (!after.empty())
        {
            // Nothing is left of this answer, which the worker knows once it has read the prompt.
            sleep_ms(reading_ms);
            from.send(head + "Content-Length: 0\r\n\r\n");
            record::line("worker %s has ended %s: no event was left", name, id.c_str());
            continue;
        }
        sleep_ms(reading_ms);
        from.send(head + "Connection: close\r\n\r\n");
        while (event < events)
        {
            sleep_ms(event_interval_ms);
            ++event;
            from.send("id: " + std::to_string(event) + "\ndata: " + id + "\n\n");
        }
        if (trouble())
        {
            silent_until = unix_ms() + silence_ms + report_silence_ms;
            sleep_ms(silence_ms);
        }
        record::line("worker %s has ended %s with its connection", name, id.c_str());
        return;
    }
}

std::string shown(const std::string& bytes)
{
    std::string text;
    for (const char c : bytes)
    {
        if (c == '\r')
            text += "\\r";
        else if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text;
}

} // namespace

int main()
{
    record::open();
    store platform;
    server worker_1([](connection& from) { serve_worker(from, "i-1"); });
    server worker_2([](connection& from) { serve_worker(from, "i-2"); });
    platform.put(
        "config", "main",
        R"({"version":3,"routes":[{"name":"feed","host":"shop.example","path_prefix":"/feed/",)"
        R"("kind":"streaming","resumable":true,"timeout_ms":20000,"slo_ms":500,"attempts":2,)"
        R"("service":"feed-app"},{"name":"order","host":"shop.example","path_prefix":"/order/",)"
        R"("kind":"non_idempotent","timeout_ms":20000,"slo_ms":500,"attempts":2,)"
        R"("service":"feed-app"}],"services":[{"name":"feed-app","health_path":"/healthz"}],)"
        R"("tenants":[{"name":"t1","api_keys":["key-1"]}]})");
    platform.put("servers", "i-1", worker_entry("feed-app", worker_1.address(), 64));
    platform.put("servers", "i-2", worker_entry("feed-app", worker_2.address(), 64));
    router edge("edge-1", work_directory(), platform.address());
    edge.write_settings();
    edge.start();
    if (!edge.wait_ready())
    {
        record::line("the router did not become ready");
        return exit_not_run;
    }
    sleep_ms(11'000); // A router grants retries from a window after its start on.

    const auto link = connection::to(edge.front());
    const auto send = [&](const std::string& path, const std::string& id)
    {
        record::line("client sends %s on its kept connection", id.c_str());
        std::string text = "POST ";
        text += path;
        text += " HTTP/1.1\r\nHost: shop.example\r\nFulmaryard-Attempt-Id: ";
        text += id;
        text += "\r\nFulmaryard-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\n"
                "Content-Length: 2\r\n\r\n{}";
        link->send(text);
    };
    int wrong = 0;
    for (int i = 0; i < 5; ++i)
    {
        const auto id = "stream-" + std::to_string(i);
        send("/feed/x", id);
        const auto got = read_answer(*link, milliseconds(8'000));
        record::line(
            "client gets %s: status %d, %s, %zu bytes", id.c_str(), got.m_status,
            got.m_complete ? "complete" : "not complete", got.m_body.size());
        if (got.m_status != 200 || !got.m_complete)
            break;
        // The next request on the connection: an order, which runs once.
        const auto order = "order-" + std::to_string(i);
        send("/order/x", order);
        while (link->m_buffer.find("done " + order) == std::string::npos &&
               link->fill(milliseconds(3'000)))
            ;
        const auto begin = link->m_buffer.find("HTTP/1.1 ");
        if (begin != 0)
        {
            ++wrong;
            record::line(
                "client reads bytes that are no answer where that of %s is due: \"%s\"",
                order.c_str(), shown(link->m_buffer.substr(0, begin)).c_str());
            break;
        }
        record::line("client gets %s: %s", order.c_str(), shown(link->m_buffer).c_str());
        link->m_buffer.clear();
    }
    return wrong > 0 ? exit_broken : exit_held;
}
