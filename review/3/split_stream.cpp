// A streaming route is split between the model's service and one without an engine. Workers answer
// streams without a length, and some break a stream off inside an event.

#include "../standins/platform.hpp"
#include "../standins/router_process.hpp"

#include <atomic>
#include <cstdio>

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr int app_weight = 10; // As in the printed example of a configuration.
constexpr int client_count = 50;
constexpr auto traffic_time = 50s;
constexpr auto client_deadline = 20s;
constexpr int tokens = 60;

// Two of four model workers and one of three others break off 3 in 100 of their answers.
constexpr int break_every = 33;

struct counters
{
    std::atomic<int> m_sent{0};
    std::atomic<int> m_complete{0};
    std::atomic<int> m_short{0}; ///< Ended as complete before the last event.
    std::atomic<int> m_broken{0};
    std::atomic<int> m_refused{0};
};

/// Sends one streaming request; returns false if the connection has ended.
bool draft_list(connection& peer, const std::string& id, record& lines, counters& count)
{
    const std::string body(800, 'x');
    const auto head = request_head(
        "POST", "/list/1", id, 20000, body.size(),
        "Fulmaryard-Model: model\r\nFulmaryard-Token-Usage: 760," + std::to_string(tokens) +
            "\r\nFulmaryard-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\n");
    ++count.m_sent;
    lines.add("client sends " + id);
    const auto answer =
        peer.send(head + body) ? peer.read(steady::now() + client_deadline) : std::nullopt;
    if (!answer)
    {
        ++count.m_broken;
        lines.add("client " + id + ": no answer, or one that is broken off");
        return false;
    }
    if (answer->status() != 200)
    {
        ++count.m_refused;
        lines.add("client " + id + ": status " + std::to_string(answer->status()));
        return answer->field("connection") != "close";
    }
    int events = 0;
    for (auto at = answer->m_body.find("\n\n"); at != std::string::npos;
         at = answer->m_body.find("\n\n", at + 2))
        ++events;
    const bool whole = events == tokens / tokens_per_event && answer->m_body.ends_with("\n\n");
    ++(whole ? count.m_complete : count.m_short);
    if (!whole)
    {
        const auto framing = answer->field("content-length").empty()
                                 ? std::string("chunked")
                                 : "Content-Length: " + answer->field("content-length");
        lines.add(
            "client " + id + ": 200, ends as complete (" + framing + ") after " +
            std::to_string(events) + " of " + std::to_string(tokens / tokens_per_event) +
            " events, signature " + answer->field("fulmaryard-response-signature") +
            ", last line '" + answer->m_body.substr(answer->m_body.rfind('\n') + 1) + "'");
    }
    else
        lines.add("client " + id + ": complete");
    return answer->field("connection") != "close";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return 2;
    const bool trouble = std::string(argv[5]) != "0";
    record lines(argv[4]);
    worker_log runs(lines);
    store objects;
    objects.put("config", "main", make_configuration(app_weight));
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 7; ++i)
    {
        const bool is_model = i < 4;
        worker_manner manner;
        manner.m_first_event = 200ms;
        manner.m_event = 20ms;
        manner.m_unframed = true;
        manner.m_break_every = trouble && i >= 2 && i <= 4 ? break_every : 0;
        workers.push_back(std::make_unique<worker>(
            objects.writer(), runs, "i-" + std::to_string(i), is_model ? "advisor" : "app",
            is_model ? "a100" : "", manner));
    }
    router_process router(argv[1], argv[2], argv[3], "edge-a-1", objects.address());
    router.write_settings(8);
    router.start();
    if (!router.wait_ready(20s))
    {
        lines.add("not ready");
        return 2;
    }
    std::this_thread::sleep_for(4s); // The layers are loaded, and the router is in touch.

    counters count;
    const auto end = steady::now() + traffic_time;
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    for (int client = 0; client < client_count; ++client)
    {
        clients.emplace_back(
            [&, client]
            {
                std::this_thread::sleep_for(20ms * client);
                connection peer;
                for (int number = 0; steady::now() < end; ++number)
                {
                    const auto id = "list-" + std::to_string(client) + "-" + std::to_string(number);
                    if (!peer.is_open() && !peer.open(router.front()))
                        continue;
                    if (!draft_list(peer, id, lines, count))
                        peer.close();
                    std::this_thread::sleep_for(100ms);
                }
            });
    }
    for (auto& client : clients)
        client.join();
    const auto summary = "sent " + std::to_string(count.m_sent) + ", complete " +
                         std::to_string(count.m_complete) + ", ended as complete too early " +
                         std::to_string(count.m_short) + ", broken off or no answer " +
                         std::to_string(count.m_broken) + ", refused or failed " +
                         std::to_string(count.m_refused);
    lines.add(summary);
    std::puts(summary.c_str());
    router.stop(SIGKILL);
    std::fflush(nullptr);
    if (count.m_complete == 0)
        std::_Exit(2);
    std::_Exit(count.m_short > 0 ? 1 : 0);
}
