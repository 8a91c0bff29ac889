// The platform changes the settings: grace_s becomes a fraction. SIGHUP, then the final fault.

#include "../standins-2/standins.hpp"

using namespace review;

namespace
{

void serve_worker(connection& from)
{
    while (const auto call = read_request(from))
    {
        if (call->m_target == "/report")
        {
            from.send(answer(200, R"({"seq":0,"busy":false,"running":0})", "", "application/json"));
            continue;
        }
        from.send(answer(
            200, "done",
            "Fulmaryard-Attempt-Id: " + call->id() + "\r\nFulmaryard-Response-Signature: s." +
                call->id() + "\r\n"));
    }
}

/// Sends `count` requests, one each 100 ms; how many were served.
int ask(int port, const std::string& name, int count)
{
    int served = 0;
    for (int i = 0; i < count; ++i)
    {
        const auto id = name + "-" + std::to_string(i);
        const auto link = connection::to(port);
        received got;
        if (link)
        {
            link->send(
                "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nFulmaryard-Attempt-Id: " + id +
                "\r\nFulmaryard-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n");
            got = read_answer(*link, milliseconds(1'500));
        }
        served += got.m_status == 200 && got.m_complete ? 1 : 0;
        if (got.m_status != 200)
            record::line(
                "client gets %s: %s", id.c_str(),
                link ? ("status " + std::to_string(got.m_status)).c_str() : "no connection");
        sleep_ms(100);
    }
    record::line("%d of %d requests %s served", served, count, name.c_str());
    return served;
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
        R"({"version":3,"routes":[{"name":"look","host":"shop.example","path_prefix":"/look/",)"
        R"("kind":"idempotent","timeout_ms":1500,"slo_ms":300,"attempts":2,"service":"refill-app"}],)"
        R"("services":[{"name":"refill-app","health_path":"/healthz"}],)"
        R"("tenants":[{"name":"t1","api_keys":["key-1"]}]})");
    platform.put("servers", "i-1", worker_entry("refill-app", worker_1.address(), 6));
    platform.put("servers", "i-2", worker_entry("refill-app", worker_2.address(), 6));
    router edge("edge-1", work_directory(), platform.address());
    edge.write_settings("8");
    edge.start();
    if (!edge.wait_ready())
    {
        record::line("the router did not become ready");
        return exit_not_run;
    }
    if (ask(edge.front(), "before", 20) != 20)
        return exit_not_run;

    // Without the disruption the new value is a whole number.
    const char* grace_s = trouble() ? "7.5" : "7";
    edge.write_settings(grace_s);
    record::line("the settings change: grace_s = %s; SIGHUP", grace_s);
    edge.signal(SIGHUP);
    sleep_ms(1'000);
    record::line("SIGKILL of all processes of the system");
    edge.stop();
    // The platform starts a process that ends again, after a short delay, for recovery_s.
    const double back_at = record::seconds();
    int ends = 0;
    edge.start();
    while (record::seconds() < back_at + 12)
    {
        if (const auto status = edge.wait(500))
        {
            ++ends;
            record::line(
                "the router has ended by itself, exit code %d; the platform starts it again",
                WIFEXITED(*status) ? WEXITSTATUS(*status) : -1);
            sleep_ms(500);
            edge.start();
        }
    }
    record::line("the router ended by itself %d times in 12 s", ends);
    const int served = ask(edge.front(), "after", 20);
    return served < 5 ? exit_broken : exit_held;
}
