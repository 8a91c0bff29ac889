#ifndef FULMARYARD_OPERATION_DEADLINE_HPP
#define FULMARYARD_OPERATION_DEADLINE_HPP

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace fulmaryard
{

/// Closes a stream whose pending operation has not ended at its deadline.
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

    explicit operation_deadline(boost::beast::tcp_stream& stream);
    ~operation_deadline();

    operation_deadline(const operation_deadline&) = delete;
    operation_deadline& operator=(const operation_deadline&) = delete;

    /// Sets the deadline of the operation that is started next; replaces that of the one before.
    void start(operation kind, time_point deadline);

    /// Ends the deadline of an operation that has completed. Returns true if it had expired.
    bool stop();

private:
    struct watch;
    std::shared_ptr<watch> m_watch;
};

} // namespace fulmaryard

#endif
