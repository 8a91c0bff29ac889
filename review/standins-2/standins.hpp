// Stand-ins for the cases of the second review: the platform's store, workers, clients and the
// router as a process of its own. One thread per connection, loopback only, no libraries.

#ifndef REVIEW_STANDINS_2_HPP
#define REVIEW_STANDINS_2_HPP

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(int time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

/// What was sent, answered and run, with the time since the start of the case.
class record
{
public:
    static void open()
    {
        const char* path = std::getenv("RECORD");
        file() = std::fopen(path == nullptr ? "record.txt" : path, "w");
    }

    static void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        static std::mutex mutex;
        const std::lock_guard lock(mutex);
        const double seconds = std::chrono::duration<double>(steady::now() - start()).count();
        for (std::FILE* out : {file(), stdout})
        {
            if (out == nullptr)
                continue;
            std::fprintf(out, "%8.3f  %s\n", seconds, text);
            std::fflush(out);
        }
    }

    static double seconds()
    {
        return std::chrono::duration<double>(steady::now() - start()).count();
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* opened = nullptr;
        return opened;
    }
    static steady::time_point start()
    {
        static const auto time = steady::now();
        return time;
    }
};

/// A connected socket with a buffer of what was read and not used yet.
class connection
{
public:
    explicit connection(int socket) : m_socket(socket)
    {
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> to(int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<connection>(socket);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const auto size =
                ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads more bytes; false at the end, after an error or when `limit` has passed.
    bool fill(milliseconds limit)
    {
        pollfd polled{m_socket, POLLIN, 0};
        const int ready = ::poll(&polled, 1, static_cast<int>(limit.count()));
        if (ready <= 0)
        {
            m_timed_out = true;
            return false;
        }
        char bytes[16384];
        const auto size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0)
        {
            m_reset = size < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    /// Whether the peer has closed the connection.
    bool peer_closed() const
    {
        char byte = 0;
        return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
               (errno != EAGAIN && errno != EWOULDBLOCK && errno != 0);
    }

    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void shutdown() { ::shutdown(m_socket, SHUT_RDWR); }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    int socket() const { return m_socket; }

    std::string m_buffer;
    bool m_timed_out{false};
    bool m_reset{false};

private:
    int m_socket;
};

inline std::string header(const std::string& head, const std::string& name)
{
    std::string lower_head = head;
    std::string lower_name = "\r\n" + name + ":";
    for (auto* text : {&lower_head, &lower_name})
        std::transform(text->begin(), text->end(), text->begin(), ::tolower);
    const auto at = lower_head.find(lower_name);
    if (at == std::string::npos)
        return {};
    auto begin = at + lower_name.size();
    while (begin < head.size() && head[begin] == ' ')
        ++begin;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

struct request
{
    std::string m_method;
    std::string m_target;
    std::string m_head;
    std::string m_body;
    std::string id() const { return header(m_head, "Fulmaryard-Attempt-Id"); }
};

/// Reads a request with a length or without a body.
inline std::optional<request> read_request(connection& from)
{
    std::size_t end = 0;
    while ((end = from.m_buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!from.fill(milliseconds(120'000)))
            return std::nullopt;
    }
    request read;
    read.m_head = from.m_buffer.substr(0, end + 4);
    from.m_buffer.erase(0, end + 4);
    const auto space = read.m_head.find(' ');
    read.m_method = read.m_head.substr(0, space);
    read.m_target = read.m_head.substr(space + 1, read.m_head.find(' ', space + 1) - space - 1);
    const auto length = header(read.m_head, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (from.m_buffer.size() < size)
    {
        if (!from.fill(milliseconds(120'000)))
            return std::nullopt;
    }
    read.m_body = from.m_buffer.substr(0, size);
    from.m_buffer.erase(0, size);
    return read;
}

/// Listens on a free port and serves each connection on a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    explicit server(handler serve) : m_serve(std::move(serve))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(m_socket, 512);
        socklen_t size = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void accept()
    {
        for (;;)
        {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::thread(
                [this, socket]
                {
                    connection accepted(socket);
                    m_serve(accepted);
                })
                .detach();
        }
    }

    handler m_serve;
    int m_socket;
    int m_port{0};
};

inline std::string
answer(int status, const std::string& body, const std::string& fields = "", const char* type = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           (*type != 0 ? std::string("Content-Type: ") + type + "\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Status line and fields of a worker's success for the request `id`, without the empty line.
inline std::string success_head(const std::string& id, const std::string& fields)
{
    std::string head = "HTTP/1.1 200 OK\r\nFulmaryard-Attempt-Id: ";
    head += id;
    head += "\r\nFulmaryard-Response-Signature: s.";
    head += id;
    head += "\r\n";
    head += fields;
    return head;
}

/// An entry of the kind `servers` for a worker of a service without an engine.
inline std::string worker_entry(const std::string& service, const std::string& address, int slots)
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"be-central-a","version":"v1","slots":)" + std::to_string(slots) +
           R"(,"state":"ready","warmup_left_ms":0,"seq":1,"born":)" + std::to_string(unix_ms()) +
           "}";
}

/// The platform's store: objects by kind and name, one revision counter, watches.
class store
{
public:
    store() : m_server([this](connection& from) { serve(from); }) {}

    std::string address() const { return m_server.address(); }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(m_mutex);
        put_locked(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        auto& objects = m_objects[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return;
        m_changes.push_back({++m_revision, kind, name, found->second.m_spec, true});
        objects.erase(found);
        m_changed.notify_all();
    }

private:
    struct object
    {
        std::uint64_t m_revision{0};
        std::string m_spec;
    };
    struct change
    {
        std::uint64_t m_revision{0};
        std::string m_kind;
        std::string m_name;
        std::string m_spec;
        bool m_deleted{false};
    };

    static std::string
    text(const std::string& name, std::uint64_t revision, const std::string& spec)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
               R"(},"spec":)" + spec + "}";
    }

    std::uint64_t
    put_locked(const std::string& kind, const std::string& name, const std::string& spec)
    {
        m_objects[kind][name] = {++m_revision, spec};
        m_changes.push_back({m_revision, kind, name, spec, false});
        m_changed.notify_all();
        return m_revision;
    }

    static std::uint64_t number_after(const std::string& text, const std::string& key)
    {
        const auto at = text.find(key);
        return at == std::string::npos ? 0
                                       : std::strtoull(text.c_str() + at + key.size(), nullptr, 10);
    }

    /// Returns the value of the member `key`, an object.
    static std::string object_after(const std::string& text, const std::string& key)
    {
        const auto at = text.find(key);
        if (at == std::string::npos)
            return "{}";
        std::size_t end = at + key.size();
        int depth = 0;
        bool quoted = false;
        do
        {
            const char c = text[end];
            if (c == '"' && text[end - 1] != '\\')
                quoted = !quoted;
            if (!quoted)
                depth += c == '{' ? 1 : c == '}' ? -1 : 0;
            ++end;
        } while (depth > 0 && end < text.size());
        return text.substr(at + key.size(), end - at - key.size());
    }

    void serve(connection& from)
    {
        while (const auto call = read_request(from))
        {
            if (!from.send(reply(*call)))
                return;
        }
    }

    std::string reply(const request& call)
    {
        const std::string era = "Store-Era: 1\r\n";
        const char* json = "application/json";
        auto path = call.m_target.substr(0, call.m_target.find('?'));
        path.erase(0, std::strlen("/objects/"));
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        auto& objects = m_objects[kind];
        if (call.m_method == "GET" && !name.empty())
        {
            const auto found = objects.find(name);
            if (found == objects.end())
                return answer(404, "{}", era, json);
            return answer(
                200, text(name, found->second.m_revision, found->second.m_spec), era, json);
        }
        if (call.m_method != "GET")
        {
            if (call.m_method == "POST")
            {
                const std::string key = R"("name":")";
                const auto at = call.m_body.find(key) + key.size();
                name = call.m_body.substr(at, call.m_body.find('"', at) - at);
            }
            const auto found = objects.find(name);
            const bool create = call.m_method == "POST";
            if (create != (found == objects.end()))
                return answer(create ? 409 : 404, "{}", era, json);
            const auto expected = number_after(call.m_body, R"("revision":)");
            if (!create && expected != 0 && expected != found->second.m_revision)
                return answer(
                    409, text(name, found->second.m_revision, found->second.m_spec), era, json);
            const auto spec = object_after(call.m_body, R"("spec":)");
            const auto revision = put_locked(kind, name, spec);
            return answer(200, text(name, revision, spec), era, json);
        }
        std::string list;
        if (call.m_target.find("watch=") == std::string::npos)
        {
            for (const auto& [id, held] : objects)
                list += (list.empty() ? "" : ",") + text(id, held.m_revision, held.m_spec);
            return answer(
                200,
                R"({"items":[)" + list + R"(],"has_more":false,"as_of":)" +
                    std::to_string(m_revision) + "}",
                era, json);
        }
        const auto after = number_after(call.m_target, "watch=");
        const auto end = steady::now() + milliseconds(number_after(call.m_target, "wait_ms="));
        for (;;)
        {
            for (const auto& past : m_changes)
            {
                if (past.m_revision > after && past.m_kind == kind)
                    list += (list.empty() ? "" : ",") + std::string(R"({"deleted":)") +
                            (past.m_deleted ? "true" : "false") + R"(,"object":)" +
                            text(past.m_name, past.m_revision, past.m_spec) + "}";
            }
            if (!list.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                break;
        }
        return answer(
            200, R"({"events":[)" + list + R"(],"as_of":)" + std::to_string(m_revision) + "}", era,
            json);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_changes;
    std::uint64_t m_revision{100};
    server m_server;
};

/// An answer as a client has received it.
struct received
{
    int m_status{0}; ///< 0: no head.
    std::string m_head;
    std::string m_body;
    bool m_complete{false};
    bool m_closed{false}; ///< The connection ended.
};

/// Reads one answer that has a length or chunks, or ends with its connection.
inline received read_answer(
    connection& from, milliseconds limit,
    const std::function<void(const std::string&)>& on_part = {})
{
    const auto end_time = steady::now() + limit;
    const auto left = [&]
    {
        return std::max(
            milliseconds(0), std::chrono::duration_cast<milliseconds>(end_time - steady::now()));
    };
    received got;
    const auto fill = [&]
    {
        const bool filled = from.fill(left());
        got.m_closed = got.m_closed || (!filled && !from.m_timed_out);
        return filled;
    };
    std::size_t end = 0;
    while ((end = from.m_buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill())
            return got;
    }
    got.m_head = from.m_buffer.substr(0, end + 4);
    from.m_buffer.erase(0, end + 4);
    got.m_status = got.m_head.size() > 12 ? std::atoi(got.m_head.c_str() + 9) : 0;
    const auto length = header(got.m_head, "Content-Length");
    if (!length.empty())
    {
        const std::size_t size = std::stoul(length);
        while (from.m_buffer.size() < size)
        {
            if (!fill())
                return got;
        }
        got.m_body = from.m_buffer.substr(0, size);
        from.m_buffer.erase(0, size);
        got.m_complete = true;
        return got;
    }
    if (header(got.m_head, "Transfer-Encoding").find("chunked") != std::string::npos)
    {
        for (;;)
        {
            std::size_t line = 0;
            while ((line = from.m_buffer.find("\r\n")) == std::string::npos)
            {
                if (!fill())
                    return got;
            }
            const std::size_t size = std::strtoul(from.m_buffer.c_str(), nullptr, 16);
            while (from.m_buffer.size() < line + 2 + size + 2)
            {
                if (!fill())
                    return got;
            }
            const auto part = from.m_buffer.substr(line + 2, size);
            from.m_buffer.erase(0, line + 2 + size + 2);
            if (size == 0)
            {
                got.m_complete = true;
                return got;
            }
            got.m_body += part;
            if (on_part)
                on_part(part);
        }
    }
    while (fill())
        ;
    got.m_body = std::move(from.m_buffer);
    from.m_buffer.clear();
    got.m_complete = got.m_closed && !from.m_reset;
    return got;
}

inline int free_port(int type = SOCK_STREAM)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

/// The program of the deploy file with settings as its template gives them.
class router
{
public:
    router(std::string name, std::string directory, std::string platform)
        : m_name(std::move(name)),
          m_directory(std::move(directory)),
          m_platform(std::move(platform)),
          m_front(free_port()),
          m_ready(free_port()),
          m_metrics(free_port()),
          m_peer(free_port(SOCK_DGRAM))
    {
    }
    ~router() { stop(); }

    void write_settings(const std::string& grace_s = "8", const std::string& memory_mb = "260")
    {
        std::FILE* file = std::fopen(settings().c_str(), "w");
        std::fprintf(
            file,
            "name: \"%s\"\nregion: \"be-central\"\nfailure_domain: \"be-central-a\"\n"
            "platform: \"%s\"\nlisten: \"127.0.0.1:%d\"\nready_listen: \"127.0.0.1:%d\"\n"
            "metrics_listen: \"127.0.0.1:%d\"\npeer_listen: \"127.0.0.1:%d\"\n"
            "grace_ms: %s000\ninstance_memory_mb: %s\nretry_percent: 15\nretry_slack: 198\n",
            m_name.c_str(), m_platform.c_str(), m_front, m_ready, m_metrics, m_peer,
            grace_s.c_str(), memory_mb.c_str());
        std::fclose(file);
    }

    void start()
    {
        const char* program = std::getenv("ROUTER");
        const std::string path = program == nullptr ? "target/fulmaryard" : program;
        const auto log = m_directory + "/" + m_name + ".log";
        m_process = ::fork();
        if (m_process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(
                path.c_str(), path.c_str(), "router", "--settings", settings().c_str(),
                static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Waits until the router says that it is ready.
    bool wait_ready(int limit_ms = 10'000)
    {
        for (int waited = 0; waited < limit_ms; waited += 50)
        {
            if (ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    bool ready()
    {
        const auto link = connection::to(m_ready);
        return link && link->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
               read_answer(*link, milliseconds(1'000)).m_status == 200;
    }

    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    /// Exit status, once the process has ended within `limit_ms`.
    std::optional<int> wait(int limit_ms)
    {
        for (int waited = 0; m_process > 0 && waited <= limit_ms; waited += 10)
        {
            int status = 0;
            if (::waitpid(m_process, &status, WNOHANG) == m_process)
            {
                m_process = 0;
                return status;
            }
            sleep_ms(10);
        }
        return std::nullopt;
    }

    void stop()
    {
        signal(SIGKILL);
        wait(5'000);
    }

    int front() const { return m_front; }
    const std::string& name() const { return m_name; }
    std::string settings() const { return m_directory + "/" + m_name + ".yaml"; }

private:
    std::string m_name;
    std::string m_directory;
    std::string m_platform;
    int m_front;
    int m_ready;
    int m_metrics;
    int m_peer;
    pid_t m_process{0};
};

/// A directory for settings and logs, named by run.sh.
inline std::string work_directory()
{
    const char* given = std::getenv("WORK");
    return given == nullptr ? "/tmp" : given;
}

/// Whether the run is with the disruption.
inline bool trouble()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

} // namespace review

#endif
