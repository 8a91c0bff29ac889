// A stand-in for the platform's store and for the workers, as the users' pages describe them.

#ifndef FULMARYARD_REVIEW_PLATFORM_HPP
#define FULMARYARD_REVIEW_PLATFORM_HPP

#include "http.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace review
{

namespace json = boost::json;

/// Lines of `record.txt`, with the seconds since the start of the script. Worker processes append
/// to the file of the process that started them.
class record
{
public:
    explicit record(const std::string& path, bool append = false)
        : m_file(path, append ? std::ios::app : std::ios::trunc)
    {
        const char* start = std::getenv("REVIEW_START_MS");
        const std::chrono::milliseconds now(std::chrono::duration_cast<std::chrono::milliseconds>(
            steady::now().time_since_epoch()));
        m_start = steady::time_point(
            start == nullptr ? now : std::chrono::milliseconds(std::strtoll(start, nullptr, 10)));
        ::setenv("REVIEW_START_MS", std::to_string(now.count()).c_str(), 0);
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        const std::chrono::duration<double> seconds = steady::now() - m_start;
        std::snprintf(time, sizeof time, "%8.3f ", seconds.count());
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start;
};

/// Objects by kind and name with one revision counter.
class store
{
public:
    store() : m_server([this](connection& peer, message& request) { return answer(peer, request); })
    {
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string& kind, const std::string& name, json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, std::move(spec));
    }

    /// Writes the entries of workers of this process.
    std::function<void(const std::string&, const json::object&)> writer()
    {
        return [this](const std::string& id, const json::object& entry)
        { put("servers", id, entry); };
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        auto object = m_objects[kind][name];
        object["metadata"].as_object()["revision"] = ++m_revision;
        m_changes.push_back({m_revision, kind, object, true});
        m_objects[kind].erase(name);
        m_changed.notify_all();
    }

private:
    struct change
    {
        std::uint64_t m_revision;
        std::string m_kind;
        json::object m_object;
        bool m_deleted;
    };

    const json::object& write(const std::string& kind, const std::string& name, json::value spec)
    {
        json::object object{
            {"metadata",
             json::object{
                 {"name", name},
                 {"revision", ++m_revision},
                 {"created_at", 1},
                 {"finalizers", json::array()},
                 {"deleting", false}}},
            {"spec", std::move(spec)},
            {"status", nullptr}};
        m_changes.push_back({m_revision, kind, object, false});
        m_changed.notify_all();
        return m_objects[kind][name] = std::move(object);
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static bool respond(connection& peer, int status, const json::value& body)
    {
        return peer.send(format(
            "HTTP/1.1 " + std::to_string(status) + " -",
            "Content-Type: application/json\r\nStore-Era: 1\r\n", json::serialize(body)));
    }

    bool answer(connection& peer, message& request)
    {
        const auto method = request.word(0);
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix))
            return respond(peer, 404, json::object());
        const auto slash = path.find('/', prefix.size());
        const auto kind = path.substr(prefix.size(), slash - prefix.size());
        auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (method != "GET")
        {
            auto body = json::parse(request.m_body).as_object();
            auto& metadata = body.at("metadata").as_object();
            if (method == "POST")
                name = metadata.at("name").as_string().c_str();
            auto& objects = m_objects[kind];
            const auto found = objects.find(name);
            if (method == "POST" && found != objects.end())
                return respond(peer, 409, found->second);
            if (method == "PUT" && found == objects.end())
                return respond(peer, 404, json::object());
            if (method == "PUT" && metadata.contains("revision") &&
                metadata.at("revision").to_number<std::uint64_t>() !=
                    found->second.at("metadata").at("revision").to_number<std::uint64_t>())
                return respond(peer, 409, found->second);
            const json::value written = write(kind, name, body.at("spec"));
            lock.unlock();
            return respond(peer, 200, written);
        }
        if (!name.empty())
        {
            const auto found = m_objects[kind].find(name);
            if (found == m_objects[kind].end())
                return respond(peer, 404, json::object());
            return respond(peer, 200, found->second);
        }
        const auto watched = parameter(target, "watch");
        if (watched.empty())
        {
            json::array items;
            for (const auto& [key, object] : m_objects[kind])
                items.push_back(object);
            return respond(
                peer, 200,
                json::object{
                    {"items", std::move(items)}, {"has_more", false}, {"as_of", m_revision}});
        }
        const auto after = std::strtoull(watched.c_str(), nullptr, 10);
        const auto wait = std::atoi(parameter(target, "wait_ms").c_str());
        const auto end = steady::now() + std::chrono::milliseconds(wait);
        json::array events;
        for (;;)
        {
            for (const auto& past : m_changes)
            {
                if (past.m_revision > after && past.m_kind == kind)
                {
                    events.push_back(
                        json::object{{"deleted", past.m_deleted}, {"object", past.m_object}});
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                break;
        }
        const json::value body = json::object{{"events", std::move(events)}, {"as_of", m_revision}};
        lock.unlock();
        return respond(peer, 200, body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision{10};
    std::map<std::string, std::map<std::string, json::object>> m_objects;
    std::vector<change> m_changes;
    server m_server;
};

/// What all workers share: the record, and the ids of the requests that they ran.
class worker_log
{
public:
    explicit worker_log(record& lines) : m_lines(lines) {}

    void note_run(const std::string& worker, const message& request)
    {
        const auto id = request.field("fulmaryard-attempt-id");
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        m_lines.add(
            "worker " + worker + " runs " + id + ", body " + std::to_string(request.m_body.size()));
    }

    void note_break(const std::string& worker, const std::string& id, int event)
    {
        m_lines.add(
            "worker " + worker + " breaks " + id + " off inside event " + std::to_string(event));
    }

    int runs(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    record& m_lines;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

constexpr int tokens_per_event = 3;

/// How a worker answers.
struct worker_manner
{
    std::chrono::milliseconds m_plain{60};        ///< Time of a plain request.
    std::chrono::milliseconds m_first_event{450}; ///< From a stream's arrival to its first event.
    std::chrono::milliseconds m_event{40};        ///< Between two events.
    bool m_unframed{false};                       ///< Streams have neither a length nor chunks.
    int m_break_every{0}; ///< Breaks each so many-th stream off inside an event; 0: none.
};

/// Writes the entry of a worker to the store.
using entry_writer = std::function<void(const std::string& id, const json::object& entry)>;

/// A worker: a model worker if it has a `kind` of card, otherwise an application worker.
class worker
{
public:
    worker(
        entry_writer write_entry, worker_log& log, std::string id, std::string service,
        std::string kind, worker_manner manner)
        : m_write_entry(std::move(write_entry)),
          m_log(log),
          m_id(std::move(id)),
          m_service(std::move(service)),
          m_kind(std::move(kind)),
          m_manner(manner),
          m_server([this](connection& peer, message& request) { return answer(peer, request); })
    {
        publish();
    }

private:
    void publish()
    {
        json::object entry{{"service", m_service}, {"address", m_server.address()},
                           {"zone", "zone-a"},     {"version", "v1"},
                           {"slots", 192},         {"state", "ready"},
                           {"warmup_left_ms", 0},  {"seq", 1},
                           {"born", 1700000000000}};
        if (!m_kind.empty())
        {
            const std::lock_guard lock(m_mutex);
            entry["kind"] = m_kind;
            entry["layers"] = json::object{{"from", m_from}, {"target", m_target}, {"version", 1}};
        }
        m_write_entry(m_id, entry);
    }

    bool answer(connection& peer, message& request)
    {
        const auto target = request.word(1);
        if (target == "/report")
            return report(peer);
        if (target == "/order")
            return order(peer, request);
        const auto id = request.field("fulmaryard-attempt-id");
        const std::string echo = "Fulmaryard-Attempt-Id: " + id + "\r\n";
        if (request.field("fulmaryard-expect-instance") != m_id)
        {
            return peer.send(format(
                "HTTP/1.1 421 Misdirected Request", echo + "Fulmaryard-Not-Executed: 1\r\n", ""));
        }
        m_log.note_run(m_id, request);
        const std::string fields = echo + "Fulmaryard-Response-Signature: " + m_id + "\r\n";
        const auto usage = request.field("fulmaryard-token-usage");
        if (usage.empty())
        {
            std::this_thread::sleep_for(m_manner.m_plain);
            return peer.send(format("HTTP/1.1 200 OK", fields, "done " + id));
        }
        return stream(peer, request, fields);
    }

    bool stream(connection& peer, const message& request, const std::string& fields)
    {
        const bool breaks_off =
            m_manner.m_break_every > 0 && ++m_streams % m_manner.m_break_every == 0;
        const auto id = request.field("fulmaryard-attempt-id");
        const auto usage = request.field("fulmaryard-token-usage");
        const int last = std::atoi(usage.substr(usage.find(',') + 1).c_str()) / tokens_per_event;
        const int first = std::atoi(request.field("last-event-id").c_str()) + 1;
        std::this_thread::sleep_for(m_manner.m_first_event);
        if (!peer.send(
                "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\n" +
                (m_manner.m_unframed ? "Connection: close\r\n\r\n"
                                     : "Transfer-Encoding: chunked\r\n\r\n")))
            return false;
        for (int event = first; event <= last; ++event)
        {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
            if (peer.closed_by_peer())
                return false;
            if (breaks_off && event == (first + last) / 2)
            {
                m_log.note_break(m_id, id, event);
                send_piece(peer, text.substr(0, text.size() / 2));
                return false;
            }
            if (!send_piece(peer, text))
                return false;
            std::this_thread::sleep_for(m_manner.m_event);
        }
        return !m_manner.m_unframed && peer.send("0\r\n\r\n");
    }

    bool send_piece(const connection& peer, const std::string& text) const
    {
        if (m_manner.m_unframed)
            return peer.send(text);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return peer.send(size + text + "\r\n");
    }

    bool report(connection& peer)
    {
        const std::lock_guard lock(m_mutex);
        const json::object body{
            {"stage", "colocated"},
            {"models", json::array()},
            {"busy", m_busy},
            {"seq", m_orders},
            {"queued", 0},
            {"running", 0},
            {"kv_used", 0},
            {"kv_total", 90000},
            {"handles", 0},
            {"pace", 1.0},
            {"stalled", json::array()},
            {"layers", json::object{{"from", m_from}, {"target", m_target}, {"version", 1}}}};
        return peer.send(
            format("HTTP/1.1 200 OK", "Content-Type: application/json\r\n", json::serialize(body)));
    }

    bool order(connection& peer, const message& request)
    {
        const auto body = json::parse(request.m_body).as_object();
        std::unique_lock lock(m_mutex);
        int status = 404;
        if (body.at("operation") == "place")
        {
            const auto* expected = body.if_contains("precondition");
            const auto from = body.at("from").to_number<int>();
            const auto target = body.at("target").to_number<int>();
            if (m_busy || (expected != nullptr && expected->to_number<int>() != m_orders))
                status = 409;
            else if (from == m_from && target == m_target)
                status = 200;
            else
            {
                status = 202;
                ++m_orders;
                m_busy = true;
                std::thread([this, from, target] { load(from, target); }).detach();
            }
        }
        lock.unlock();
        return peer.send(format("HTTP/1.1 " + std::to_string(status) + " -", "", "{}"));
    }

    void load(int from, int target)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        {
            const std::lock_guard lock(m_mutex);
            m_from = from;
            m_target = target;
            m_busy = false;
        }
        publish();
    }

    entry_writer m_write_entry;
    worker_log& m_log;
    std::string m_id;
    std::string m_service;
    std::string m_kind;
    worker_manner m_manner;
    std::atomic<int> m_streams{0};
    std::mutex m_mutex;
    int m_orders{0};
    bool m_busy{false};
    int m_from{0};
    int m_target{0};
    server m_server;
};

/// A configuration with a service of model workers and one of application workers. `app_weight` of
/// 100 streaming requests go to the latter.
inline json::object make_configuration(int app_weight = 0)
{
    const json::object engine{
        {"slots", 192},
        {"kv_capacity", 100000},
        {"kv_token_bytes", 12000},
        {"stride", 3},
        {"models", json::array{json::object{{"name", "model"}, {"pace", 1.0}, {"load_s", 0.2}}}},
        {"step_ms", 1.02},
        {"per_seq_ms", 0.00714},
        {"context_per_k", 0.00956},
        {"read_per_s", 105000.0},
        {"chunk", 512},
        {"report_lag_ms", 200.0},
        {"loads_at_once", 5},
        {"usual", json::object{{"prompt", 774}, {"answer", 200}}},
        {"layers", 80},
        {"layer_mb", 1750.0},
        {"activation_bytes", 45900},
        {"pipe_mbps", 26000.0},
        {"kinds", json::array{json::object{
                      {"name", "a100"}, {"mb", 72000.0}, {"pace", 2.4}, {"read_x", 3.2}}}}};
    const auto route =
        [](const char* prefix, const char* kind, const char* service, int timeout_ms, int attempts)
    {
        return json::object{
            {"name", prefix},      {"host", "shop.example"},   {"path_prefix", prefix},
            {"kind", kind},        {"timeout_ms", timeout_ms}, {"slo_ms", 500},
            {"priority", 1},       {"service", service},       {"attempts", attempts},
            {"public", false},     {"sticky", true},           {"resumable", true},
            {"target_gap_ms", 200}};
    };
    auto list = route("/list/", "streaming", "advisor", 20000, 2);
    if (app_weight > 0)
    {
        list.erase("service");
        list["weighted_clusters"] = json::array{
            json::object{{"service", "advisor"}, {"weight", 100 - app_weight}},
            json::object{{"service", "app"}, {"weight", app_weight}}};
    }
    return {
        {"version", 7},
        {"routes",
         json::array{
             list, route("/order/", "non_idempotent", "app", 800, 1),
             route("/look/", "idempotent", "app", 800, 2)}},
        {"services",
         json::array{
             json::object{
                 {"name", "advisor"},
                 {"health_path", "/healthz"},
                 {"max_conns", 1128},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"engine", engine}},
             json::object{
                 {"name", "app"},
                 {"health_path", "/healthz"},
                 {"max_conns", 100},
                 {"protocol", "h1"},
                 {"tls", false}}}},
        {"limits",
         json::object{
             {"max_header_bytes", 16384},
             {"max_body_bytes", 4194304},
             {"header_timeout_ms", 3000},
             {"idle_timeout_ms", 15000}}},
        {"tenants",
         json::array{json::object{
             {"name", "kitwerk"}, {"api_keys", json::array{"key-1"}}, {"priority", 1}}}}};
}

/// The head of a client's request up to its body, of which only the size is named.
inline std::string request_head(
    const std::string& method, const std::string& path, const std::string& id, int deadline_ms,
    std::size_t body_size, const std::string& more = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nFulmaryard-Attempt-Id: " + id +
           "\r\nFulmaryard-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer key-1\r\n" + more +
           "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

} // namespace review

#endif
