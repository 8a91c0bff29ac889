#ifndef FULMARYARD_RAW_CONNECTION_HPP
#define FULMARYARD_RAW_CONNECTION_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace fulmaryard::process_tests
{

/// Blocking TCP connection that sends arbitrary bytes, for input that HTTP clients do not produce.
class raw_connection
{
public:
    /// Connects to "IP:PORT". Throws std::runtime_error on failure.
    explicit raw_connection(const std::string& address);
    ~raw_connection();

    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;

    /// Sends all bytes. Returns false if the peer has closed the connection.
    bool send(std::string_view bytes) const;

    /// Shuts down the sending direction only.
    void shutdown_send() const;

    /// Receives until `marker` has occurred `count` times, the peer closes the connection, or the
    /// deadline passes. An empty marker sets no limit. Returns all bytes received.
    std::string receive(
        std::string_view marker = {}, std::size_t count = 1,
        std::chrono::milliseconds deadline = std::chrono::seconds(10)) const;

private:
    int m_socket{-1};
};

} // namespace fulmaryard::process_tests

#endif
