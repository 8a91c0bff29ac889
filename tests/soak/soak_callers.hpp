#ifndef FULMARYARD_SOAK_CALLERS_HPP
#define FULMARYARD_SOAK_CALLERS_HPP

#include "soak/soak_request.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace fulmaryard::soak
{

/// Concurrent callers. Each sends one request at a time, on a connection that it reuses until the
/// router closes it.
class soak_callers
{
public:
    /// `addresses` are those of the routers. No request starts later than `duration` after the
    /// start.
    soak_callers(
        std::vector<std::string> addresses, std::uint64_t seed, std::chrono::milliseconds duration);

    /// Sends requests and waits for the last response.
    void run();

    std::vector<soak_request> take_requests() { return std::move(m_requests); }

private:
    boost::asio::awaitable<void> send_requests(std::size_t caller);
    std::chrono::milliseconds now() const;

    std::vector<std::string> m_addresses;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_duration;
    std::chrono::steady_clock::time_point m_start;
    boost::asio::io_context m_io{1};
    std::vector<soak_request> m_requests;
};

} // namespace fulmaryard::soak

#endif
