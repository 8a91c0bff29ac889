// A planned stop, and a stream that a kept connection brings more than 3 s after SIGTERM.

#include "../standins-2/standins.hpp"

using namespace review;

namespace
{

constexpr int short_events = 5;
constexpr int long_events = 60;
constexpr int event_interval_ms = 100;

std::atomic<bool> broken_off{false}; ///< A worker found its stream cut by the router.

/// A worker of a service without an engine: streams as many events as the path says.
void serve_worker(connection& from)
{
    while (const auto call = read_request(from))
    {
        if (call->m_target == "/report")
        {
            from.send(answer(200, R"({"seq":0,"busy":false,"running":0})", "", "application/json"));
            continue;
        }
        const auto id = call->id();
        const bool is_long = call->m_target.find("long") != std::string::npos;
        const int events = is_long ? long_events : short_events;
        if (is_long)
            record::line("worker runs %s: %d events", id.c_str(), events);
        bool sent = from.send(success_head(
            id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int event = 0;
        while (sent && event < events && !from.peer_closed())
        {
            sleep_ms(event_interval_ms);
            ++event;
            const auto text = "id: " + std::to_string(event) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", text.size());
            sent = from.send(size + ("\r\n" + text) + "\r\n");
        }
        if (event < events)
        {
            record::line("worker: the router closed %s after event %d", id.c_str(), event);
            broken_off = true;
            return;
        }
        from.send("0\r\n\r\n");
        if (is_long)
            record::line("worker has ended %s", id.c_str());
    }
}

received ask(connection& to, const std::string& id, const std::string& path)
{
    to.send(
        "POST /feed/" + path + " HTTP/1.1\r\nHost: shop.example\r\nFulmaryard-Attempt-Id: " + id +
        "\r\nFulmaryard-Deadline-Ms: 20000\r\nFulmaryard-Token-Usage: 40,60\r\nAuthorization: "
        "Bearer key-1\r\n"
        "Content-Length: 2\r\n\r\n{}");
    return read_answer(to, milliseconds(25'000));
}

} // namespace

int main()
{
    record::open();
    store platform;
    server worker_1(serve_worker);
    server worker_2(serve_worker);
    platform.put(
        "config", "main",
        R"({"version":3,"routes":[{"name":"feed","host":"shop.example","path_prefix":"/feed/",)"
        R"("kind":"streaming","timeout_ms":20000,"slo_ms":500,"attempts":2,"service":"feed-app"}],)"
        R"("services":[{"name":"feed-app","health_path":"/healthz"}],)"
        R"("tenants":[{"name":"t1","api_keys":["key-1"]}]})");
    platform.put("servers", "i-1", worker_entry("feed-app", worker_1.address(), 64));
    platform.put("servers", "i-2", worker_entry("feed-app", worker_2.address(), 64));
    router stopping("edge-1", work_directory(), platform.address());
    router staying("edge-2", work_directory(), platform.address());
    for (auto* each : {&stopping, &staying})
    {
        each->write_settings();
        each->start();
    }
    if (!stopping.wait_ready() || !staying.wait_ready())
    {
        record::line("the routers did not become ready");
        return exit_not_run;
    }
    sleep_ms(3'000); // Both routers have registered and know each other.

    // Usual traffic: 1 stream in 60 is long.
    std::vector<std::thread> usual;
    std::atomic<int> served{0};
    for (int i = 0; i < 60; ++i)
    {
        usual.emplace_back(
            [&, i]
            {
                const auto link = connection::to(stopping.front());
                if (!link)
                    return;
                const auto got =
                    ask(*link, "usual-" + std::to_string(i), i == 30 ? "long" : "short");
                served += got.m_status == 200 && got.m_complete ? 1 : 0;
            });
        sleep_ms(60);
    }
    for (auto& each : usual)
        each.join();
    record::line("60 streams before: %d whole", served.load());
    if (served != 60)
        return exit_not_run;

    constexpr int callers = 3;
    std::vector<std::unique_ptr<connection>> kept;
    for (int i = 0; i < callers; ++i)
    {
        kept.push_back(connection::to(stopping.front()));
        const auto got = ask(*kept.back(), "first-" + std::to_string(i), "short");
        if (!got.m_complete || got.m_status != 200)
            return exit_not_run;
    }
    // Work that is in progress at the stop, and keeps the process from an early exit.
    std::thread before(
        [&]
        {
            const auto link = connection::to(stopping.front());
            const auto got = ask(*link, "before", "long");
            record::line(
                "client gets before: status %d, %s", got.m_status,
                got.m_complete ? "complete" : "cut off");
        });
    sleep_ms(500);
    if (trouble())
    {
        record::line("SIGTERM to edge-1");
        stopping.signal(SIGTERM);
    }
    const double stop_at = record::seconds();
    std::vector<std::thread> late;
    late.reserve(callers);
    std::atomic<int> cut{0};
    std::atomic<int> whole{0};
    for (int i = 0; i < callers; ++i)
    {
        late.emplace_back(
            [&, i]
            {
                sleep_ms(3'300 + 300 * i);
                const auto id = "late-" + std::to_string(i);
                record::line(
                    "client sends %s on a kept connection, %.3f s after", id.c_str(),
                    record::seconds() - stop_at);
                const auto got = ask(*kept[static_cast<std::size_t>(i)], id, "long");
                record::line(
                    "client gets %s: status %d, %zu bytes, %s, %.3f s after", id.c_str(),
                    got.m_status, got.m_body.size(), got.m_complete ? "complete" : "cut off",
                    record::seconds() - stop_at);
                if (got.m_status == 200 && got.m_complete)
                    ++whole;
                // Refused without having been read, or as not run, is no breach.
                if (got.m_status == 200 && !got.m_complete)
                    ++cut;
            });
    }
    for (auto& each : late)
        each.join();
    before.join();
    record::line(
        "%d of %d late streams cut off in their answer, %d whole", cut.load(), callers,
        whole.load());
    if (!trouble() && whole != callers)
        return exit_not_run;
    return cut > 0 ? exit_broken : exit_held;
}
