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

/// The only sender of calls to the application worker beside this process. Idempotent calls go
/// straight through; others go through the call ledger first. Thread-safe.
class worker_client
{
public:
    /// Called with each answer, from any thread.
    using answer_handler =
        std::function<void(const std::string& reply_address, const service_result& result)>;

    /// `process` is the id of this run of the side process, `address` the worker's "IP:PORT".
    /// `registry` must outlive the work on `executor`.
    worker_client(
        const boost::asio::any_io_executor& executor, std::string process,
        const std::string& address, std::shared_ptr<platform_client> platform, metrics& registry,
        answer_handler on_answer);
    ~worker_client();

    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// Starts the ledger's timer and the probe of the worker; call once.
    void start();

    /// A call has arrived; it is answered once, now or later.
    void begin(service_call call);

    /// Refuses new calls from now on.
    void begin_drain();

    /// Calls in progress, and outcomes that are not durable yet.
    std::size_t active() const;

    /// Whether the last probe of the worker got an HTTP response.
    bool worker_up() const;

    /// State as a JSON object; at most `max_keys` keys of the ledger are listed, hashed.
    boost::asio::awaitable<std::string> dump(std::size_t max_keys) const;

    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
