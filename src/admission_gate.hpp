#ifndef FULMARYARD_ADMISSION_GATE_HPP
#define FULMARYARD_ADMISSION_GATE_HPP

#include "one_shot_inl.hpp"

#include <fulmaryard/admission.hpp>

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
    struct entry
    {
        admission_decision m_decision;
        std::shared_ptr<void> m_lease;
    };

    /// Suspends until the request is admitted or refused. Assigns the ticket of `new_request`. Call
    /// it on `executor`, which must be a strand.
    boost::asio::awaitable<entry> enter(
        boost::asio::any_io_executor executor, const client_account& account,
        admission_request asked);

    /// Updates the capacity and refuses requests that have been queued too long.
    /// `total_batch_limit` is the sum of the batch limits of all live endpoints; this entry uses an
    /// equal part of it.
    void on_tick(std::size_t batch_limits);

    /// See `admission_controller`, also for the functions below.
    void on_first_token(std::chrono::nanoseconds since_admission);

    std::map<std::string, double> use();
    void on_peer_use(const std::string& address, std::map<std::string, double> use);

    std::size_t queued() const;
    std::size_t running() const;

private:
    using slot = std::shared_ptr<one_shot<admission_decision>>;

    void deliver(const admission::decisions& decided);
    void release(std::uint64_t ticket);

    mutable std::mutex m_mutex;
    admission m_admission;
    std::uint64_t m_last_ticket{0};
    absl::flat_hash_map<std::uint64_t, slot> m_slots;
};

} // namespace fulmaryard

#endif
