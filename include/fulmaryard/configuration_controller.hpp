#ifndef FULMARYARD_CONFIGURATION_CONTROLLER_HPP
#define FULMARYARD_CONFIGURATION_CONTROLLER_HPP

#include <fulmaryard/configuration_store.hpp>
#include <fulmaryard/platform_object.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace fulmaryard
{

class configuration_state;
class platform_client;

/// Puts the configuration that the platform holds in force in this process. It reads the platform
/// once at the start and then only while it is told to watch. The platform, the state and the
/// controller must outlive `run()`.
class configuration_controller
{
public:
    configuration_controller(
        const boost::asio::any_io_executor& executor, platform_client& platform,
        configuration_state& state);

    /// Runs until `stop()`. Outages are retried with backoff. Call once.
    boost::asio::awaitable<void> run();

    /// Ends `run()` when its pending call ends, a watch within 4 s. Thread-safe.
    void stop();

    /// Whether to watch the platform; see `shall_watch_configuration`. True at first, so that a
    /// process without peers is up to date. Thread-safe.
    void watch_platform(bool enabled);

    /// Whether the platform has answered since the start. Thread-safe.
    bool has_read_platform() const;

    /// Whether the last call of the platform was answered. Thread-safe.
    bool platform_reachable() const;

private:
    boost::asio::awaitable<bool> read_next();
    boost::asio::awaitable<bool> put_in_force(const platform_object& object);

    platform_client& m_platform;
    configuration_state& m_state;
    configuration_store m_store;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_version{0}; ///< Highest version of the object that was read.
    std::atomic<bool> m_enabled{true};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_has_read{false};
    std::atomic<bool> m_reachable{false};
};

} // namespace fulmaryard

#endif
