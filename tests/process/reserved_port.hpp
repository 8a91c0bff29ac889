#ifndef FULMARYARD_RESERVED_PORT_HPP
#define FULMARYARD_RESERVED_PORT_HPP

#include <cstdint>
#include <string>

namespace fulmaryard::process_tests
{

/// Reserves a loopback port for the processes that are configured to use it.
///
/// Holds a socket that is bound but does not listen. The kernel then does not assign the port to a
/// process that binds to port 0, while a server that sets SO_REUSEADDR can still bind and listen on
/// it, including after a restart.
class reserved_port
{
public:
    reserved_port();
    ~reserved_port();

    reserved_port(reserved_port&& other) noexcept;
    reserved_port& operator=(reserved_port&& other) noexcept;

    /// Returns "127.0.0.1:PORT".
    std::string address() const;

private:
    int m_socket{-1};
    std::uint16_t m_port{0};
};

} // namespace fulmaryard::process_tests

#endif
