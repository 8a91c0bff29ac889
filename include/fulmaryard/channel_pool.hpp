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

/// Kept-alive connections to endpoints, by address. Not thread-safe.
class channel_pool
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit channel_pool(boost::asio::any_io_executor executor) : m_executor(std::move(executor))
    {
    }

    /// An idle connection that was used within `max_idle`, or nullptr.
    std::unique_ptr<endpoint_channel>
    take(const std::string& address, std::chrono::milliseconds max_idle, time_point now);

    /// A connection that is not open yet.
    std::unique_ptr<endpoint_channel> make();

    /// Keeps a connection if another call can use it.
    void put(std::unique_ptr<endpoint_channel> channel, time_point now);

    /// Closes the idle connections to an address, since one of them proved silent.
    void drop(const std::string& address) { m_idle.erase(address); }

    /// Closes connections that their endpoints are about to close.
    void on_tick(time_point now);

    std::size_t idle() const;

private:
    struct idle_channel
    {
        std::unique_ptr<endpoint_channel> m_channel;
        time_point m_since;
    };

    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::vector<idle_channel>> m_idle;
};

} // namespace fulmaryard

#endif
