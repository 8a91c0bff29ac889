#ifndef FULMARYARD_OPERATION_DEADLINE_HPP
#define FULMARYARD_OPERATION_DEADLINE_HPP

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace fulmaryard
{

/// Closes a stream, or cancels its operation, if that has not ended at its deadline.
///
/// Unlike the time-out of `tcp_stream`, it leaves an operation alone whose socket is ready: the
/// process was held up, not the peer, and the event loop will complete the operation. One pass of
/// the loop handles a limited number of sockets but all timers, so a timer can come first.
///
/// Not thread-safe; to be used on the executor of the stream, which has to outlive it.
class operation_deadline
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Which readiness of the socket lets the operation go on.
    enum class operation
    {
        read,
        write ///< Or connect.
    };

    /// What ends an operation at its deadline.
    enum class expiry_action
    {
        close_stream,
        /// Cancels the operation and leaves the stream open. The operation may consist of several
        /// reads, so a ready socket extends its deadline by `max_extension` only. The stream is
        /// closed if the operation has not ended as long after that.
        cancel_operation
    };

    /// A peer whose bytes never stop has a socket that is always ready.
    static constexpr std::chrono::milliseconds max_extension{500};

    explicit operation_deadline(boost::beast::tcp_stream& stream);
    ~operation_deadline();

    operation_deadline(const operation_deadline&) = delete;
    operation_deadline& operator=(const operation_deadline&) = delete;

    /// Sets the deadline of the operation that is started next; replaces that of the one before.
    void
    start(operation kind, time_point deadline, expiry_action action = expiry_action::close_stream);

    /// Ends the deadline of an operation that has completed. Returns true if it had expired.
    bool stop();

private:
    struct watch;
    std::shared_ptr<watch> m_watch;
};

} // namespace fulmaryard

#endif
