// One part of a prompt crashes each worker that begins an answer on it. Sound requests of the same
// caller share the first part of its prompts.

#include "../standins-2/standins.hpp"

using namespace review;

namespace
{

constexpr int workers = 8;
constexpr int down_ms = 3'000;
constexpr int events = 6;
constexpr int event_interval_ms = 40;
constexpr double contact_s = 3;

const std::string first_part = "5c1e07a2";  ///< Of the sound and the deadly requests alike.
const std::string deadly_part = "91bd3f06"; ///< Only of the deadly ones.

std::mutex times_mutex;
std::vector<double> crash_times;

/// A model worker that holds all layers. It crashes as it begins an answer on the deadly part, and
/// is back after some seconds, empty.
class model_worker
{
public:
    model_worker(store& platform, std::string id) : m_platform(platform), m_id(std::move(id))
    {
        m_port = free_port();
        listen();
    }

private:
    void listen()
    {
        m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(m_listening, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(m_listening, 256);
        m_born = unix_ms();
        m_orders = 0;
        publish();
        std::thread([this, socket = m_listening] { accept(socket); }).detach();
    }

    void publish()
    {
        m_platform.put(
            "servers", m_id,
            R"({"service":"advisor-llm","address":"127.0.0.1:)" + std::to_string(m_port) +
                R"(","zone":"be-central-a","version":"v1","slots":192,"state":"ready",)"
                R"("warmup_left_ms":0,"seq":1,"kind":"a100","stage":"colocated","layers":[)" +
                layers() + R"(],"born":)" + std::to_string(m_born) + "}");
    }

    std::string layers() const
    {
        return m_end == 0 ? ""
                          : R"({"from":)" + std::to_string(m_begin) + R"(,"target":)" +
                                std::to_string(m_end) + R"(,"version":1})";
    }

    void accept(int listening)
    {
        for (;;)
        {
            const int socket = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        connection from(socket);
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
        }
        while (const auto call = read_request(from))
        {
            if (!answer_call(from, *call))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(std::find(m_sockets.begin(), m_sockets.end(), socket));
    }

    bool answer_call(connection& from, const request& call)
    {
        if (call.m_target == "/report")
        {
            const std::lock_guard lock(m_mutex);
            return from.send(answer(
                200,
                R"({"stage":"colocated","models":[],"busy":false,"seq":)" +
                    std::to_string(m_orders) +
                    R"(,"queued":0,"running":0,"kv_used":0,)"
                    R"("kv_total":1000000,"pace":1.0,"stalled":[],"layers":[)" +
                    layers() + R"(],"born":)" + std::to_string(m_born) + "}",
                "", "application/json"));
        }
        if (call.m_target == "/order")
        {
            const std::lock_guard lock(m_mutex);
            const auto number = [&](const char* key)
            {
                const auto at = call.m_body.find(key);
                return at == std::string::npos
                           ? 0
                           : std::atoi(call.m_body.c_str() + at + std::strlen(key));
            };
            m_begin = number(R"("from":)");
            m_end = number(R"("target":)");
            ++m_orders;
            publish();
            return from.send(answer(202, "{}", "", "application/json"));
        }
        const auto id = call.id();
        bool sent = from.send(success_head(
            id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        if (header(call.m_head, "Fulmaryard-Prompt-Prefix").find(deadly_part) !=
                std::string::npos &&
            trouble())
        {
            crash(id);
            return false;
        }
        for (int event = 1; sent && event <= events; ++event)
        {
            sleep_ms(event_interval_ms);
            const auto text = "id: " + std::to_string(event) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", text.size());
            sent = from.send(size + ("\r\n" + text) + "\r\n");
        }
        return sent && from.send("0\r\n\r\n");
    }

    void crash(const std::string& id)
    {
        record::line("worker %s crashes as it begins %s", m_id.c_str(), id.c_str());
        {
            const std::lock_guard lock(times_mutex);
            crash_times.push_back(record::seconds());
        }
        {
            const std::lock_guard lock(m_mutex);
            ::shutdown(m_listening, SHUT_RDWR);
            ::close(m_listening);
            for (const int socket : m_sockets)
                ::shutdown(socket, SHUT_RDWR);
            m_begin = m_end = 0;
        }
        std::thread(
            [this]
            {
                sleep_ms(down_ms);
                const std::lock_guard lock(m_mutex);
                listen();
                record::line("worker %s is back", m_id.c_str());
            })
            .detach();
    }

    store& m_platform;
    std::string m_id;
    std::mutex m_mutex;
    int m_port{0};
    int m_listening{-1};
    int m_begin{0};
    int m_end{12};
    int m_orders{0};
    std::int64_t m_born{0};
    std::vector<int> m_sockets;
};

/// The value of Fulmaryard-Prompt-Prefix for these parts.
std::string prompt(const std::vector<std::string>& parts)
{
    std::string value;
    for (const auto& part : parts)
    {
        value += value.empty() ? "" : ",";
        value += part;
        value += ":260";
    }
    return value;
}

struct outcome
{
    double m_sent{0};
    bool m_began{false};
};

/// Sends one request on a connection of its own; whether its answer began.
bool ask(int port, const std::string& id, const std::string& prefix, const std::string& key)
{
    const auto link = connection::to(port);
    if (!link)
        return false;
    link->send(
        "POST /advice/ HTTP/1.1\r\nHost: shop.example\r\nFulmaryard-Attempt-Id: " + id +
        "\r\nFulmaryard-Model: m0\r\nFulmaryard-Token-Usage: 800,30\r\nFulmaryard-Prompt-Prefix: " +
        prefix + "\r\nFulmaryard-Deadline-Ms: 20000\r\nAuthorization: Bearer " + key +
        "\r\nContent-Length: 2\r\n\r\n{}");
    const auto got = read_answer(*link, milliseconds(21'000));
    if (got.m_status != 200)
    {
        record::line(
            "client gets %s: status %d, Retry-After %s", id.c_str(), got.m_status,
            header(got.m_head, "Retry-After").c_str());
    }
    return got.m_status == 200 && !got.m_body.empty();
}

} // namespace

int main()
{
    record::open();
    store platform;
    platform.put(
        "config", "main",
        R"({"version":3,"routes":[{"name":"advice","host":"shop.example","path_prefix":"/advice/",)"
        R"("kind":"streaming","resumable":true,"sticky":true,"timeout_ms":20000,"slo_ms":500,)"
        R"("attempts":2,"service":"advisor-llm"}],"services":[{"name":"advisor-llm",)"
        R"("health_path":"/healthz","engine":{"slots":192,"layers":12,"layer_mb":100.0,)"
        R"("kv_token_bytes":12000.0,"step_ms":1.0,"per_seq_ms":0.01,"context_per_k":0.01,)"
        R"("read_per_s":100000.0,"loads_at_once":8,"activation_bytes":1000,"pipe_mbps":26000.0,)"
        R"("models":[{"name":"m0","load_s":0.1}],"usual":{"prompt":800,"answer":30},)"
        R"("kinds":[{"name":"a100","mb":72000.0,"pace":1.0,"read_x":1.0}]}}],)"
        R"("tenants":[{"name":"t1","api_keys":["key-1"]},{"name":"t2","api_keys":["key-2"]}]})");
    std::vector<std::unique_ptr<model_worker>> running;
    running.reserve(workers);
    for (int i = 0; i < workers; ++i)
        running.push_back(std::make_unique<model_worker>(platform, "i-" + std::to_string(i)));
    router edge("edge-1", work_directory(), platform.address());
    edge.write_settings();
    edge.start();
    if (!edge.wait_ready())
    {
        record::line("the router did not become ready");
        return exit_not_run;
    }
    sleep_ms(12'000); // Workers have their layers; a router grants retries from a window on.

    std::atomic<bool> ends{false};
    std::mutex mutex;
    std::vector<outcome> sound;
    std::vector<std::thread> requests;

    // Other callers with other prompts, 25 a second.
    std::thread others(
        [&]
        {
            for (int i = 0; !ends; ++i)
            {
                std::thread(
                    [&, i]
                    {
                        const auto own = std::to_string(100'000 + i);
                        ask(edge.front(), "other-" + own,
                            prompt({"7a" + std::to_string(i % 40), "b" + own}), "key-2");
                    })
                    .detach();
                sleep_ms(40);
            }
        });
    // Sound requests of the caller whose deadly ones come later, one each 0.7 s.
    const auto begin = steady::now();
    const auto ask_sound = [&](int i)
    {
        const double sent = record::seconds();
        const auto own = std::to_string(i);
        const bool began =
            ask(edge.front(), "sound-" + own, prompt({first_part, "a" + own}), "key-1");
        const std::lock_guard lock(mutex);
        sound.push_back({sent, began});
    };
    constexpr int sound_interval_ms = 700;
    constexpr int sound_before = 28;
    constexpr int sound_after = 34;
    std::thread deadly_requests;
    double deadly_begin = 0;
    std::atomic<double> deadly_end{0};
    for (int i = 0; i < sound_before + sound_after; ++i)
    {
        std::this_thread::sleep_until(begin + milliseconds(sound_interval_ms * i));
        requests.emplace_back(ask_sound, i);
        if (i != sound_before - 1)
            continue;
        // 3 deadly requests between two sound ones, then one a second: 22 s in all.
        deadly_requests = std::thread(
            [&]
            {
                sleep_ms(events * event_interval_ms + 60);
                deadly_begin = record::seconds();
                record::line("deadly requests begin");
                for (int n = 0; record::seconds() < deadly_begin + 22; ++n)
                {
                    std::thread(
                        [&, n]
                        {
                            const auto own = std::to_string(n);
                            ask(edge.front(), "deadly-" + own,
                                prompt({first_part, deadly_part, "c" + own}), "key-1");
                        })
                        .detach();
                    sleep_ms(n < 2 ? 120 : 1'000);
                }
                deadly_end = record::seconds();
                record::line("deadly requests end");
            });
    }
    for (auto& each : requests)
        each.join();
    deadly_requests.join();
    ends = true;
    others.join();
    sleep_ms(500);

    double watched_from = deadly_begin;
    {
        const std::lock_guard lock(times_mutex);
        if (!crash_times.empty())
            watched_from =
                crash_times[std::min<std::size_t>(crash_times.size(), 5) - 1] + 2 * contact_s;
        record::line("%zu workers crashed", crash_times.size());
    }
    int before = 0;
    int before_began = 0;
    int beside = 0;
    int beside_began = 0;
    for (const auto& each : sound)
    {
        if (each.m_sent < deadly_begin)
        {
            ++before;
            before_began += each.m_began ? 1 : 0;
        }
        else if (each.m_sent >= watched_from && each.m_sent < deadly_end)
        {
            ++beside;
            beside_began += each.m_began ? 1 : 0;
        }
    }
    record::line(
        "sound requests before: %d of %d began at the first attempt", before_began, before);
    record::line("sound requests beside the deadly ones: %d of %d", beside_began, beside);
    if (before < 20 || beside < 20 || before_began < before * 9 / 10)
        return exit_not_run;
    return static_cast<double>(beside_began) / beside < 0.5 * before_began / before ? exit_broken
                                                                                    : exit_held;
}
