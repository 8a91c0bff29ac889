#ifndef FULMARYARD_HTTP_TRANSFER_HPP
#define FULMARYARD_HTTP_TRANSFER_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace fulmaryard
{

/// Progress of one HTTP exchange, which its caller can read, and end early, while the exchange
/// runs. Thread-safe.
class http_transfer
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Ends the exchange: its connection is closed, so that the rest of the response is not sent.
    void cancel()
    {
        std::function<void()> abort;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelled = true;
            abort = std::move(m_abort);
        }
        if (abort)
            abort();
    }

    bool cancelled() const
    {
        const std::lock_guard lock(m_mutex);
        return m_cancelled;
    }

    /// Sets what `cancel` calls. Returns false if the exchange has been cancelled already.
    bool on_started(std::function<void()> abort)
    {
        const std::lock_guard lock(m_mutex);
        m_abort = std::move(abort);
        return !m_cancelled;
    }

    /// Records `bytes` further bytes of the response, header included.
    void on_received(std::size_t bytes, time_point now)
    {
        if (bytes == 0)
            return;
        if (m_received_bytes.fetch_add(bytes, std::memory_order_relaxed) == 0)
            m_first_byte.store(now, std::memory_order_relaxed);
    }

    /// Bytes of the response that were read so far.
    std::size_t received_bytes() const { return m_received_bytes.load(std::memory_order_relaxed); }

    /// When the first bytes were read; the epoch of the clock before.
    time_point first_byte() const { return m_first_byte.load(std::memory_order_relaxed); }

private:
    mutable std::mutex m_mutex;
    std::function<void()> m_abort;
    bool m_cancelled{false};
    std::atomic<std::size_t> m_received_bytes{0};
    std::atomic<time_point> m_first_byte{time_point{}};
};

} // namespace fulmaryard

#endif
