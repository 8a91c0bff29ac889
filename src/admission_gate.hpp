#ifndef FULMARYARD_ADMISSION_GATE_HPP
#define FULMARYARD_ADMISSION_GATE_HPP

#include "one_shot_inl.hpp"

#include <fulmaryard/admission_controller.hpp>

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fulmaryard
{

/// Lets coroutines wait for the decision of the admission controller. Thread-safe.
class admission_gate : public std::enable_shared_from_this<admission_gate>
{
public:
    explicit admission_gate(admission_settings settings);

    /// The decision on a request. If it was admitted, the capacity is released when the last copy
    /// of `m_lease` is destroyed; otherwise `m_lease` is null.
    struct admission_result
    {
        admission_decision m_decision;
        std::shared_ptr<void> m_lease;
    };

    /// Suspends until the request is admitted or refused. Assigns the ticket of `new_request`. Call
    /// it on `executor`, which must be a strand.
    boost::asio::awaitable<admission_result> acquire(
        boost::asio::any_io_executor executor, const client_account& account,
        admission_request new_request);

    /// Updates the capacity and refuses requests that have been queued too long.
    /// `total_batch_limit` is the sum of the batch limits of all live endpoints; this entry uses an
    /// equal part of it.
    void on_tick(std::size_t total_batch_limit);

    /// Refuses all requests that are queued, because the process exits.
    void refuse_queued();

    /// See `admission_controller`, also for the functions below.
    void on_first_token(std::chrono::nanoseconds since_admission);

    std::map<std::string, double> usage();
    void on_peer_usage(const std::string& address, std::map<std::string, double> usage);

    std::size_t queued() const;
    std::size_t running() const;

private:
    using pending_decision = std::shared_ptr<one_shot<admission_decision>>;

    void deliver(const admission_controller::decisions& decided);
    void release(std::uint64_t ticket);

    mutable std::mutex m_mutex;
    admission_controller m_controller;
    std::uint64_t m_last_ticket{0};
    absl::flat_hash_map<std::uint64_t, pending_decision> m_pending;
};

} // namespace fulmaryard

#endif
