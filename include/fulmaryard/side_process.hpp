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

/// Server process that runs next to one endpoint. Runs one pipeline stage of many streams on the
/// endpoint's engine, or forwards service calls to its application worker. Connects the modules
/// that do no I/O themselves to peers, engine, worker and platform.
class side_process
{
public:
    /// `on_stopped` is called once, from any thread, when draining is complete. `io` must be
    /// stopped and its threads joined before this object is destroyed.
    side_process(
        boost::asio::io_context& io, side_settings settings, std::function<void()> on_stopped);
    ~side_process();

    side_process(const side_process&) = delete;
    side_process& operator=(const side_process&) = delete;

    /// Binds the listening socket and starts all background tasks. Returns the bound port, or the
    /// error if listening failed. Must be called before `io` runs.
    absl::StatusOr<std::uint16_t> start();

    /// Starts refusing new work. The process stops once no work is active or the drain limit has
    /// passed. Thread-safe.
    void begin_drain(std::string_view reason);

    lifecycle_phase phase() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
