#include "process/raw_connection.hpp"

#include <fulmaryard/peer_address.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace fulmaryard::process_tests
{

namespace
{

std::size_t count_of(std::string_view text, std::string_view marker)
{
    std::size_t found = 0;
    for (auto at = text.find(marker); at != std::string_view::npos;
         at = text.find(marker, at + marker.size()))
        ++found;
    return found;
}

} // namespace

raw_connection::raw_connection(const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint.ok())
        throw std::runtime_error("invalid address " + address);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (m_socket < 0 ||
        ::connect(m_socket, endpoint->data(), static_cast<socklen_t>(endpoint->size())) != 0)
    {
        ::close(m_socket);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_connection::~raw_connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
{
}

bool raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void raw_connection::shutdown_send() const
{
    ::shutdown(m_socket, SHUT_WR);
}

std::string raw_connection::receive(
    std::string_view marker, std::size_t count, std::chrono::milliseconds deadline) const
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    std::string received;
    while (marker.empty() || count_of(received, marker) < count)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        pollfd readable{m_socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0)
            break;
        char buffer[4096];
        const auto size = ::recv(m_socket, buffer, sizeof(buffer), 0);
        if (size <= 0)
            break;
        received.append(buffer, static_cast<std::size_t>(size));
    }
    return received;
}

} // namespace fulmaryard::process_tests
