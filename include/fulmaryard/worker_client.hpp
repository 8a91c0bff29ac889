#ifndef FULMARYARD_WORKER_CLIENT_HPP
#define FULMARYARD_WORKER_CLIENT_HPP

#include <fulmaryard/service_call.hpp>
#include <fulmaryard/service_result.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

class metrics;
class platform_client;

/// Sends calls to the local application worker, for which this process is the sidecar; the worker
/// has no other client. Idempotent calls are sent directly; all others are first recorded in the
/// call ledger. Thread-safe.
class worker_client
{
public:
    /// Called once with the result of each call, from any thread.
    using result_handler =
        std::function<void(const std::string& reply_address, const service_result& result)>;

    /// `process_id` identifies this run of the sidecar process; `address` is the worker's
    /// "IP:PORT". `registry` must outlive all work on `executor`.
    worker_client(
        const boost::asio::any_io_executor& executor, std::string process_id,
        const std::string& address, std::shared_ptr<platform_client> platform, metrics& registry,
        result_handler on_result);
    ~worker_client();

    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// Starts the ledger's timer and the periodic health probe of the worker. Call once.
    void start();

    /// Starts a call. Its result is passed to the handler exactly once, possibly before this
    /// returns.
    void begin(service_call call);

    /// Refuses all new calls from now on with `draining`.
    void begin_drain();

    /// Number of calls in progress, including those whose outcome is not durable yet.
    std::size_t active() const;

    /// Whether the last probe of the worker got an HTTP response.
    bool worker_up() const;

    /// Returns the state as a JSON object. Lists at most `max_keys` keys of the ledger, as hashes.
    boost::asio::awaitable<std::string> dump(std::size_t max_keys) const;

    /// Ends the periodic tasks at their next iteration.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
