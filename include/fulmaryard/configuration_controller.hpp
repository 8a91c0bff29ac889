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

/// Loads the configuration from the platform and activates it in this process. Reads the platform
/// once at startup and afterwards only while watching is enabled. The platform, the state and the
/// controller must outlive `run()`.
class configuration_controller
{
public:
    configuration_controller(
        const boost::asio::any_io_executor& executor, platform_client& platform,
        configuration_state& state);

    /// Runs until `stop()`. Failed calls are retried with backoff. Call once.
    boost::asio::awaitable<void> run();

    /// Makes `run()` return after its pending call, which takes up to 4 s for a watch. Thread-safe.
    void stop();

    /// Enables or disables watching; see `is_elected_watcher`. Enabled initially, so that a
    /// process without peers stays up to date. Thread-safe.
    void set_watch_enabled(bool enabled);

    /// Whether a configuration record was read from the platform since startup. Thread-safe.
    bool has_read_platform() const;

    /// Whether the last call to the platform succeeded. Thread-safe.
    bool platform_reachable() const;

private:
    boost::asio::awaitable<bool> read_next();
    boost::asio::awaitable<bool> activate_configuration(const platform_object& object);

    platform_client& m_platform;
    configuration_state& m_state;
    configuration_store m_store;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_version{0}; ///< Highest object version read.
    std::atomic<bool> m_watch_enabled{true};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_has_read{false};
    std::atomic<bool> m_reachable{false};
};

} // namespace fulmaryard

#endif
