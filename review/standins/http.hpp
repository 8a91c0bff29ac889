// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review's scripts.

#ifndef FULMARYARD_REVIEW_HTTP_HPP
#define FULMARYARD_REVIEW_HTTP_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review
{

using steady = std::chrono::steady_clock;

inline std::string lower(std::string_view text)
{
    std::string result(text);
    for (auto& c : result)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return result;
}

/// A request or a response; field names are in lower case.
struct message
{
    std::string m_start; ///< Request line or status line.
    std::map<std::string, std::string> m_fields;
    std::string m_body;

    std::string field(const std::string& name) const
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? "" : found->second;
    }

    /// The word of the start line with this index.
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index && begin != std::string::npos; ++i)
        {
            begin = m_start.find(' ', begin);
            begin = begin == std::string::npos ? begin : begin + 1;
        }
        return begin == std::string::npos ? ""
                                          : m_start.substr(begin, m_start.find(' ', begin) - begin);
    }

    int status() const { return std::atoi(word(1).c_str()); }
};

/// A TCP connection that is closed with the object.
class connection
{
public:
    explicit connection(int descriptor = -1) : m_descriptor(descriptor) { set_no_delay(); }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool open(int port)
    {
        close();
        m_buffer.clear();
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        {
            close();
            return false;
        }
        set_no_delay();
        return true;
    }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    bool is_open() const { return m_descriptor >= 0; }

    bool send(std::string_view text) const
    {
        while (!text.empty())
        {
            const auto sent = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool closed_by_peer() const
    {
        char byte = 0;
        const auto size = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads up to and including `end` of the input; nullopt at the end of the connection or at
    /// `deadline`.
    std::optional<std::string> read_until(const std::string& end, steady::time_point deadline)
    {
        for (;;)
        {
            const auto at = m_buffer.find(end);
            if (at != std::string::npos)
                return take(at + end.size());
            if (!read_more(deadline))
                return std::nullopt;
        }
    }

    std::optional<std::string> read_size(std::size_t size, steady::time_point deadline)
    {
        while (m_buffer.size() < size)
        {
            if (!read_more(deadline))
                return std::nullopt;
        }
        return take(size);
    }

    /// Reads a start line and fields, without a body.
    std::optional<message> read_head(steady::time_point deadline)
    {
        const auto text = read_until("\r\n\r\n", deadline);
        if (!text)
            return std::nullopt;
        message result;
        std::size_t begin = 0;
        for (bool first = true; begin + 2 < text->size(); first = false)
        {
            const auto end = text->find("\r\n", begin);
            const auto line = text->substr(begin, end - begin);
            begin = end + 2;
            const auto colon = line.find(':');
            if (first)
                result.m_start = line;
            else if (colon != std::string::npos)
            {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.m_fields[lower(line.substr(0, colon))] = value;
            }
        }
        return result;
    }

    /// Reads the next chunk of a body; empty at its end, nullopt when it breaks off.
    std::optional<std::string> read_chunk(steady::time_point deadline)
    {
        const auto size_line = read_until("\r\n", deadline);
        if (!size_line)
            return std::nullopt;
        const auto size = std::strtoul(size_line->c_str(), nullptr, 16);
        auto chunk = read_size(size + 2, deadline);
        if (chunk)
            chunk->resize(size);
        return chunk;
    }

    /// Reads a whole message.
    std::optional<message> read(steady::time_point deadline)
    {
        auto result = read_head(deadline);
        if (!result)
            return std::nullopt;
        if (lower(result->field("transfer-encoding")) == "chunked")
        {
            for (;;)
            {
                const auto chunk = read_chunk(deadline);
                if (!chunk)
                    return std::nullopt;
                if (chunk->empty())
                    return result;
                result->m_body += *chunk;
            }
        }
        const auto size = std::strtoul(result->field("content-length").c_str(), nullptr, 10);
        auto body = read_size(size, deadline);
        if (!body)
            return std::nullopt;
        result->m_body = std::move(*body);
        return result;
    }

    /// Whether bytes of an answer have arrived that were not read.
    bool has_input() const { return !m_buffer.empty(); }

private:
    void set_no_delay() const
    {
        const int on = 1;
        if (m_descriptor >= 0)
            ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    std::string take(std::size_t size)
    {
        auto result = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }

    bool read_more(steady::time_point deadline)
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady::now());
        pollfd state{m_descriptor, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&state, 1, static_cast<int>(left.count())) <= 0)
            return false;
        char bytes[65536];
        const auto size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
};

/// Formats a request or response with a length.
inline std::string
format(const std::string& start, const std::string& fields, std::string_view body)
{
    std::string text =
        start + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

/// Serves each connection in a thread of its own until the process ends. The handler answers one
/// request, and returns false to close the connection.
class server
{
public:
    using handler = std::function<bool(connection&, message&)>;

    explicit server(handler on_request)
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(m_descriptor, 512) != 0 ||
            ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            std::exit(2);
        m_port = ntohs(address.sin_port);
        std::thread([this, on_request] { accept_all(on_request); }).detach();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void accept_all(const handler& on_request) const
    {
        for (;;)
        {
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            std::thread(
                [accepted, on_request]
                {
                    connection peer(accepted);
                    for (;;)
                    {
                        auto request = peer.read(steady::now() + std::chrono::minutes(5));
                        if (!request || !on_request(peer, *request))
                            return;
                    }
                })
                .detach();
        }
    }

    int m_descriptor{-1};
    int m_port{0};
};

/// A port that was free a moment ago.
inline int free_port()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    int port = 0;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        port = ntohs(address.sin_port);
    ::close(descriptor);
    return port;
}

} // namespace review

#endif
