#include "process/reserved_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace fulmaryard::process_tests
{

reserved_port::reserved_port() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int yes = 1;
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    auto* const generic = reinterpret_cast<sockaddr*>(&local);
    if (m_socket < 0 || setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes)) != 0 ||
        bind(m_socket, generic, size) != 0 || getsockname(m_socket, generic, &size) != 0)
    {
        throw std::runtime_error("cannot reserve a loopback port");
    }
    m_port = ntohs(local.sin_port);
}

reserved_port::~reserved_port()
{
    if (m_socket >= 0)
        close(m_socket);
}

reserved_port::reserved_port(reserved_port&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1)),
      m_port(other.m_port)
{
}

reserved_port& reserved_port::operator=(reserved_port&& other) noexcept
{
    std::swap(m_socket, other.m_socket);
    std::swap(m_port, other.m_port);
    return *this;
}

std::string reserved_port::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

} // namespace fulmaryard::process_tests
