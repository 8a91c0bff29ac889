#ifndef FULMARYARD_SIDE_PROCESS_HPP
#define FULMARYARD_SIDE_PROCESS_HPP

#include <fulmaryard/process_lifecycle.hpp>
#include <fulmaryard/side_settings.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace fulmaryard
{

/// The process beside one endpoint: runs one stage of many streams on its engine, or the calls of
/// its application worker. Wires the I/O-free modules to peers, engine, worker and platform.
class side_process
{
public:
    /// `on_stopped` is called once, from any thread, when a drain has ended. `io` must be stopped
    /// and its threads joined before this object is destroyed.
    side_process(
        boost::asio::io_context& io, side_settings settings, std::function<void()> on_stopped);
    ~side_process();

    side_process(const side_process&) = delete;
    side_process& operator=(const side_process&) = delete;

    /// Listens and starts all work; returns the port. Call before `io` runs.
    absl::StatusOr<std::uint16_t> start();

    /// Refuses new work from now on and stops when nothing is active or the drain limit has
    /// passed. Thread-safe.
    void begin_drain(std::string_view reason);

    lifecycle_phase phase() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
