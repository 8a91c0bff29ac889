#ifndef FULMARYARD_CHANNEL_POOL_HPP
#define FULMARYARD_CHANNEL_POOL_HPP

#include <fulmaryard/endpoint_channel.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Pool of keep-alive connections to endpoints, keyed by endpoint address. Not thread-safe.
class channel_pool
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit channel_pool(boost::asio::any_io_executor executor) : m_executor(std::move(executor))
    {
    }

    /// Removes from the pool and returns the most recently used connection to `address`. Returns
    /// nullptr if no usable connection has been idle for at most `max_idle`.
    std::unique_ptr<endpoint_channel>
    take(const std::string& address, std::chrono::milliseconds max_idle, time_point now);

    /// Returns a new, unconnected channel.
    std::unique_ptr<endpoint_channel> create();

    /// Returns a connection to the pool. Closes it if it is not reusable or if the pool already
    /// holds the maximum number of idle connections to its address.
    void put(std::unique_ptr<endpoint_channel> channel, time_point now);

    /// Closes all idle connections to `address`. Called after a request on one of them failed,
    /// because the others have probably failed as well.
    void close_idle(const std::string& address) { m_idle_channels.erase(address); }

    /// Closes the idle connections whose keep-alive timeout is about to expire.
    void on_tick(time_point now);

    /// Number of idle connections to all addresses.
    std::size_t idle() const;

private:
    struct idle_channel
    {
        std::unique_ptr<endpoint_channel> m_channel;
        time_point m_idle_since;
    };

    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::vector<idle_channel>> m_idle_channels;
};

} // namespace fulmaryard

#endif
