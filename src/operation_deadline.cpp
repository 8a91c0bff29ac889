#include "operation_deadline.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <poll.h>

namespace fulmaryard
{

namespace beast = boost::beast;

namespace
{

// Interval at which an operation is cancelled again. It may have been between two reads, when there
// was nothing to cancel.
constexpr std::chrono::milliseconds cancel_interval{50};

} // namespace

struct operation_deadline::watch : std::enable_shared_from_this<watch>
{
    explicit watch(beast::tcp_stream& stream) : m_stream(stream), m_timer(stream.get_executor()) {}

    void wait()
    {
        m_timer.async_wait(
            [self = shared_from_this(), number = m_number](const beast::error_code& error)
            {
                // A timer that has expired already cannot be cancelled.
                if (!error && number == self->m_number)
                    self->on_timer();
            });
    }

    void on_timer()
    {
        const auto now = std::chrono::steady_clock::now();
        if (!m_expired && is_ready() &&
            (m_action == expiry_action::close_stream || within_extension(now)))
        {
            // Looks again after the next pass of the event loop.
            m_timer.expires_at(time_point::min());
            return wait();
        }
        if (!std::exchange(m_expired, true))
            m_extension_end = now + max_extension;
        // An operation whose next read finds bytes at once never waits, so it cannot be cancelled.
        if (m_action == expiry_action::close_stream || !within_extension(now))
            return m_stream.close();
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
        m_timer.expires_after(cancel_interval);
        wait();
    }

    /// Whether `now` is within `max_extension` of the first call since the deadline.
    bool within_extension(time_point now)
    {
        m_extension_end = std::min(m_extension_end, now + max_extension);
        return now < m_extension_end;
    }

    bool is_ready()
    {
        if (!m_stream.socket().is_open())
            return false;
        pollfd polled{
            m_stream.socket().native_handle(),
            static_cast<short>(m_kind == operation::read ? POLLIN : POLLOUT), 0};
        return ::poll(&polled, 1, 0) > 0;
    }

    beast::tcp_stream& m_stream;
    boost::asio::steady_timer m_timer;
    operation m_kind{operation::read};
    expiry_action m_action{expiry_action::close_stream};
    time_point m_extension_end{time_point::max()}; ///< Set when the deadline has passed.
    std::uint64_t m_number{0}; ///< Of the operation; changes when its deadline ends.
    bool m_expired{false};
};

operation_deadline::operation_deadline(beast::tcp_stream& stream)
    : m_watch(std::make_shared<watch>(stream))
{
}

operation_deadline::~operation_deadline()
{
    stop();
}

void operation_deadline::start(operation kind, time_point deadline, expiry_action action)
{
    ++m_watch->m_number;
    m_watch->m_kind = kind;
    m_watch->m_action = action;
    m_watch->m_extension_end = time_point::max();
    m_watch->m_expired = false;
    m_watch->m_timer.expires_at(deadline);
    m_watch->wait();
}

bool operation_deadline::stop()
{
    ++m_watch->m_number;
    m_watch->m_timer.cancel();
    return std::exchange(m_watch->m_expired, false);
}

} // namespace fulmaryard
