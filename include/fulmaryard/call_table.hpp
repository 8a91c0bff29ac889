#ifndef FULMARYARD_CALL_TABLE_HPP
#define FULMARYARD_CALL_TABLE_HPP

#include <fulmaryard/service_result.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace fulmaryard
{

/// Matches results with pending calls by call id and by the peer that the call was sent to, so that
/// a late or misrouted result cannot reach another caller. Thread-safe.
class call_table
{
public:
    /// Runs at most once, on the thread that calls `complete` or `fail_peer`.
    using completion = std::function<void(service_result)>;

    /// Adds a pending call to the process `peer_process` at `peer_address` and returns its id. A
    /// table never reuses an id.
    std::uint64_t add(std::string peer_address, std::string peer_process, completion done);

    /// Passes a result to its call. Returns false if no call to this peer is pending under its id.
    /// A response without a valid status code fails the call like the loss of its peer: processes
    /// of older versions pass such responses on, and may have stored them.
    bool complete(const std::string& peer_address, service_result result);

    /// Completes all pending calls to the peer with `endpoint_lost` and outcome `unknown`.
    void fail_peer(const std::string& peer_address);

    /// Like `fail_peer`, but only for calls to other processes than `process`, which now runs at
    /// the address. A process may be replaced so quickly that its link is never reported as down.
    void fail_replaced(const std::string& peer_address, const std::string& process);

    /// Removes a call without completing it.
    void remove(std::uint64_t call);

    std::size_t size() const;

private:
    struct pending_call
    {
        std::string m_peer_address;
        std::string m_peer_process;
        completion m_done;
    };

    template <typename Selected>
    void fail_if(Selected selected);

    mutable std::mutex m_mutex;
    std::uint64_t m_last_id{0};
    absl::flat_hash_map<std::uint64_t, pending_call> m_pending;
};

} // namespace fulmaryard

#endif
