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

/// Matches results with the calls that wait for them, by call id and by the peer that was asked, so
/// that a late or crossed result cannot reach another caller. Thread-safe.
class call_table
{
public:
    /// Runs at most once, on the thread of the caller of `complete` or `fail_peer`.
    using completion = std::function<void(service_result)>;

    /// Returns the id of a new call. Ids are not used twice in one process.
    std::uint64_t add(std::string peer_address, completion done);

    /// Returns false for a result that nobody waits for.
    bool complete(const std::string& peer_address, service_result result);

    /// Ends all calls at the peer with `endpoint_lost`, outcome unknown.
    void fail_peer(const std::string& peer_address);

    void remove(std::uint64_t call);

    std::size_t size() const;

private:
    struct waiting
    {
        std::string m_peer_address;
        completion m_done;
    };

    mutable std::mutex m_mutex;
    std::uint64_t m_last{0};
    absl::flat_hash_map<std::uint64_t, waiting> m_waiting;
};

} // namespace fulmaryard

#endif
