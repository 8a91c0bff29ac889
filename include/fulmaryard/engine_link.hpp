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

/// Timeouts and size limits of the link to an engine.
struct engine_link_limits
{
    /// The engine is considered lost when no byte arrives for this long. Pongs count as received
    /// bytes, so a slow step does not trigger the timeout.
    std::chrono::milliseconds m_silence_timeout{500};
    std::chrono::milliseconds m_handshake_timeout{250};
    std::chrono::milliseconds m_min_backoff{50};
    std::chrono::milliseconds m_max_backoff{1000};
    std::chrono::milliseconds m_info_interval{1000}; ///< Polling interval of `/v1/info` while up.
    std::chrono::milliseconds m_order_deadline{10'000};
    std::size_t m_max_queued_bytes{64 * 1024 * 1024}; ///< The link is closed above this limit.
    std::size_t m_max_message_bytes{256 * 1024 * 1024};
};

/// Callbacks for events of the link, invoked on its strand in the order of the events.
struct engine_link_handlers
{
    /// The link is up and the engine's KV state is empty. `connection` numbers the connections,
    /// starting at 1.
    std::function<void(std::uint64_t connection, const engine_info& info)> m_on_up;
    std::function<void()> m_on_down;
    /// `duration` is the time from enqueueing the run for sending until its result; 0 when the run
    /// was released before the result arrived.
    std::function<void(engine_result result, std::chrono::nanoseconds duration)> m_on_result;
    /// A periodic poll of `/v1/info` succeeded. The reported values may be outdated.
    std::function<void(const engine_info& info)> m_on_info;
};

/// Snapshot of the link's state for diagnostic dumps.
struct engine_link_state
{
    bool m_up{false};
    std::uint64_t m_connection{0};
    std::size_t m_queued_bytes{0};
    std::size_t m_runs_in_flight{0};
};

/// WebSocket client of the engine on the same instance as this process. Reconnects with an
/// exponential backoff. Thread-safe.
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

    /// Sends a run or a release on the given connection. The message is dropped when that
    /// connection is no longer the current one, because the engine's sessions ended with it.
    void run(engine_run run, std::uint64_t connection);
    void release(const engine_release& release, std::uint64_t connection);

    /// Sends an order at most once, without retries, and calls `on_end` on the link's strand. The
    /// status is ok when the engine accepted the order; otherwise the failure is
    /// - `stale_epoch`: the engine refused the order;
    /// - `endpoint_lost` with outcome `not_run`: the engine is down;
    /// - `conflict`: another order is in flight;
    /// - `invalid_request`: the arguments are not a JSON object;
    /// - `endpoint_lost` with outcome `unknown`: the connection ended before the reply;
    /// - `deadline_exceeded` with outcome `unknown`: no reply within `m_order_deadline`.
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
