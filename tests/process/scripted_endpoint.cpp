#include "process/scripted_endpoint.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <sys/socket.h>

#include <array>
#include <utility>

namespace fulmaryard::process_tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t repeated_block_bytes = 64 * 1024;

std::string frame(const std::string& body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// Value of a header field; empty if there is none.
std::string field(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

scripted_endpoint::scripted_endpoint(script answer)
    : m_answer(std::move(answer)),
      m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0})
{
    m_threads.emplace_back([this] { accept(); });
}

scripted_endpoint::~scripted_endpoint()
{
    boost::system::error_code ignored;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (const auto& socket : m_sockets)
            socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
    // Ends the accept that is in progress.
    tcp::socket wake(m_io);
    wake.connect(m_acceptor.local_endpoint(), ignored);
    m_threads.front().join();
    for (std::size_t i = 1; i < m_threads.size(); ++i)
        m_threads[i].join();
}

std::string scripted_endpoint::address() const
{
    return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
}

int scripted_endpoint::arrivals(const std::string& call) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_arrivals.find(call);
    return found == m_arrivals.end() ? 0 : found->second;
}

std::string scripted_endpoint::last_head(const std::string& call) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_last_heads.find(call);
    return found == m_last_heads.end() ? "" : found->second;
}

std::string scripted_endpoint::last_body() const
{
    const std::lock_guard lock(m_mutex);
    return m_last_body;
}

void scripted_endpoint::set_layers(int begin, int end)
{
    const std::lock_guard lock(m_mutex);
    m_layers = fmt::format(R"({{"from":{},"target":{}}})", begin, end);
}

void scripted_endpoint::set_reports(report_mode mode)
{
    const std::lock_guard lock(m_mutex);
    m_reports = mode;
}

void scripted_endpoint::stop_listening()
{
    // Closing the socket would not end the accept that is in progress.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
}

scripted_endpoint::reply scripted_endpoint::report() const
{
    const std::lock_guard lock(m_mutex);
    if (m_reports != report_mode::answered)
        return {"", m_reports == report_mode::closed};
    const auto layers = m_layers.empty() ? "" : R"(,"layers":)" + m_layers;
    return {frame(fmt::format(R"({{"seq":0,"busy":false,"pace":1.0,"running":0{}}})", layers))};
}

void scripted_endpoint::accept()
{
    for (;;)
    {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(m_io);
        m_acceptor.accept(*socket, error);
        const std::lock_guard lock(m_mutex);
        if (error || m_stopped)
            return;
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(*socket); });
    }
}

void scripted_endpoint::serve(tcp::socket& socket)
{
    std::string received;
    int calls = 0;
    for (;;)
    {
        boost::system::error_code error;
        const auto size =
            asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (error)
            return;
        const auto head = received.substr(0, size);
        received.erase(0, size);
        const auto length = field(head, "Content-Length");
        const std::size_t body = length.empty() ? 0 : std::stoul(length);
        while (!error && received.size() < body)
        {
            std::array<char, 16 * 1024> bytes{};
            received.append(bytes.data(), socket.read_some(asio::buffer(bytes), error));
        }
        auto call_body = received.substr(0, body);
        received.erase(0, body);
        reply answer;
        if (head.starts_with("GET /report "))
            answer = report();
        else if (head.starts_with("POST /order "))
            answer.m_bytes = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        else
        {
            auto call = field(head, "Fulmaryard-Attempt-Id");
            // Side processes send the request id of the caller only.
            if (call.empty())
                call = field(head, "X-Request-Id");
            {
                const std::lock_guard lock(m_mutex);
                ++m_arrivals[call];
                m_last_heads[call] = head;
                m_last_body = std::move(call_body);
            }
            answer = m_answer(call, calls++);
        }
        asio::write(socket, asio::buffer(answer.m_bytes), error);
        std::this_thread::sleep_for(answer.m_pause);
        if (!answer.m_rest.empty())
            asio::write(socket, asio::buffer(answer.m_rest), error);
        if (!answer.m_repeated.empty())
        {
            std::string block;
            while (block.size() < repeated_block_bytes)
                block += answer.m_repeated;
            while (!error)
                asio::write(socket, asio::buffer(block), error);
        }
        if (answer.m_close)
            socket.shutdown(tcp::socket::shutdown_both, error);
        if (error || answer.m_close)
            return;
    }
}

} // namespace fulmaryard::process_tests
