#ifndef FULMARYARD_RESERVED_PORT_HPP
#define FULMARYARD_RESERVED_PORT_HPP

#include <cstdint>
#include <string>

namespace fulmaryard::process_tests
{

/// A loopback port that only processes which are told of it use.
///
/// Holds a socket that is bound but does not listen. The system then gives the port to nobody who
/// asks for any free port, while a server that sets SO_REUSEADDR can bind and listen on it, also
/// again after a restart.
class reserved_port
{
public:
    reserved_port();
    ~reserved_port();

    reserved_port(reserved_port&& other) noexcept;
    reserved_port& operator=(reserved_port&& other) noexcept;

    /// "127.0.0.1:PORT".
    std::string address() const;

private:
    int m_socket{-1};
    std::uint16_t m_port{0};
};

} // namespace fulmaryard::process_tests

#endif
