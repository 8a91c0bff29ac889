#ifndef FULMARYARD_ENGINE_LINK_HPP
#define FULMARYARD_ENGINE_LINK_HPP

#include <fulmaryard/engine_info.hpp>
#include <fulmaryard/engine_order.hpp>
#include <fulmaryard/engine_release.hpp>
#include <fulmaryard/engine_result.hpp>
#include <fulmaryard/engine_run.hpp>

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

/// Deadlines and bounds of the link to an engine.
struct engine_link_limits
{
    /// Without any received byte for this long the engine counts as lost. Pongs count, so a slow
    /// step does not.
    std::chrono::milliseconds m_silence{500};
    std::chrono::milliseconds m_handshake{250};
    std::chrono::milliseconds m_min_backoff{50};
    std::chrono::milliseconds m_max_backoff{1000};
    std::chrono::milliseconds m_info_interval{1000}; ///< Between reads of `/v1/info` while up.
    std::chrono::milliseconds m_order_deadline{10'000};
    std::size_t m_max_queued_bytes{64 * 1024 * 1024}; ///< Beyond it the link is closed.
    std::size_t m_max_message_bytes{256 * 1024 * 1024};
};

/// What happens on the link, called on its strand in order.
struct engine_link_handlers
{
    /// The link is up, with KV state empty. `connection` counts the connections from 1.
    std::function<void(std::uint64_t connection, const engine_info& info)> m_on_up;
    std::function<void()> m_on_down;
    /// `duration` is the time from handing the run to the link to its result; 0 when the run was
    /// released before.
    std::function<void(engine_result result, std::chrono::nanoseconds duration)> m_on_result;
    /// A later, lagging reading of `/v1/info`.
    std::function<void(const engine_info& info)> m_on_info;
};

/// State of the link, for dumps.
struct engine_link_state
{
    bool m_up{false};
    std::uint64_t m_connection{0};
    std::size_t m_queued_bytes{0};
    std::size_t m_runs_in_flight{0};
};

/// Client of the engine beside this process, by its WebSocket protocol. Thread-safe.
class engine_link
{
public:
    engine_link(
        const boost::asio::any_io_executor& executor, std::string address,
        engine_link_handlers handlers, engine_link_limits limits = {});
    ~engine_link();

    engine_link(const engine_link&) = delete;
    engine_link& operator=(const engine_link&) = delete;

    /// Starts connecting; call once.
    void start();

    /// Sends a run or a release on the given connection. It is dropped when that is not the
    /// present one, since the engine's sessions ended with it.
    void run(engine_run run, std::uint64_t connection);
    void release(const engine_release& release, std::uint64_t connection);

    /// Sends an order once and calls `on_end` on the link's strand: ok when the engine accepted
    /// it; `stale_epoch` when the engine refused it; `endpoint_lost` `not_run` when the engine is
    /// down, `unknown` when the connection ended or nothing was answered in time.
    void order(engine_order order, std::function<void(absl::Status)> on_end);

    engine_link_state state() const;

    /// Closes the link. Handlers that have not started are not called.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
