#ifndef FULMARYARD_RAW_CONNECTION_HPP
#define FULMARYARD_RAW_CONNECTION_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace fulmaryard::process_tests
{

/// Blocking TCP connection that sends any bytes, for input that no HTTP client would send.
class raw_connection
{
public:
    /// Connects to "IP:PORT"; throws when that fails.
    explicit raw_connection(const std::string& address);
    ~raw_connection();

    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;

    /// Sends what the other end accepts; false when it has closed the connection.
    bool send(std::string_view bytes) const;

    /// Ends the sending direction only.
    void shutdown_send() const;

    /// Receives until `marker` has arrived `count` times, the other end closes, or the deadline
    /// passes. With an empty marker it reads to the end. Returns everything received.
    std::string receive(
        std::string_view marker = {}, std::size_t count = 1,
        std::chrono::milliseconds deadline = std::chrono::seconds(10)) const;

private:
    int m_socket{-1};
};

} // namespace fulmaryard::process_tests

#endif
