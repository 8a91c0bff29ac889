#ifndef FULMARYARD_CONNECTION_REGISTRY_HPP
#define FULMARYARD_CONNECTION_REGISTRY_HPP

#include <fulmaryard/caller_activity.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>

namespace fulmaryard
{

/// The connections of a server from which it waits for bytes, and closes those that make room for
/// others. Thread-safe.
class connection_registry
{
public:
    using time_point = caller_activity::time_point;
    using state = caller_activity::state;

    /// One connection. To be used on its executor, except for `m_executor`.
    struct connection
    {
        boost::asio::any_io_executor m_executor;
        boost::beast::tcp_stream* m_stream{nullptr}; ///< Null once the connection has ended.
        bool m_waiting{false};                       ///< For bytes of the caller.
        bool m_closed{false};                        ///< Makes room for others.
    };

    /// An incomplete request whose caller has been silent for less is not closed for memory; large
    /// bodies over a slow link have shorter pauses.
    static constexpr std::chrono::milliseconds min_silence{250};

    std::shared_ptr<connection> add(std::uint64_t id, boost::beast::tcp_stream& stream);

    /// Records that bytes have arrived or that the wait for them begins. On the connection's
    /// executor.
    void wait(std::uint64_t id, connection& waiting, state now_in);
    /// The server no longer waits for bytes. On the connection's executor.
    void stop_waiting(std::uint64_t id, connection& waiting);
    /// The connection has ended. On its executor.
    void remove(std::uint64_t id, connection& ended);

    /// Ends the wait for the incomplete request that has gone longest without a byte. Returns
    /// whether there is one that is silent for `min_silence`.
    bool close_longest_incomplete();

    /// Closes the connection that has gone longest without a byte. Returns whether there is one.
    bool close_longest();

    /// Records a request that was refused because memory is used up.
    void on_refused();

private:
    bool close(std::optional<std::uint64_t> id, std::string_view reason);
    /// Logs what was closed and refused, at most once a second.
    void log_pressure(std::string_view reason);

    std::mutex m_mutex;
    caller_activity m_activity;
    std::map<std::uint64_t, std::shared_ptr<connection>> m_connections;
    std::uint64_t m_closed{0};  ///< Since the last log line.
    std::uint64_t m_refused{0}; ///< Since the last log line.
    time_point m_next_log;
};

} // namespace fulmaryard

#endif
