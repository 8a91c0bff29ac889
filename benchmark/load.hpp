#ifndef FULMARYARD_LOAD_HPP
#define FULMARYARD_LOAD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard::benchmark
{

/// Load to apply to the entries: closed-loop clients, each of which runs one stream at a time,
/// and open-loop arrivals, whose rate does not depend on the responses.
struct load
{
    std::vector<std::string> m_addresses;           ///< Entry addresses, used round robin.
    std::vector<std::string> m_reconnect_addresses; ///< Reconnections use them after `m_addresses`.
    std::map<std::string, std::size_t> m_clients;   ///< Closed-loop clients by account.
    std::map<std::string, double> m_arrivals;       ///< Open-loop requests/s by account.
    /// Mean stream length in tokens; lengths are uniform between 1/2 and 3/2 of the mean.
    std::uint32_t m_mean_tokens{40};
    std::chrono::milliseconds m_duration{5000};
    std::chrono::milliseconds m_retry_pause{50}; ///< Client delay after a refused request.
    bool m_resumable{false};
    bool m_finish_streams{false}; ///< Read open streams to their end after `m_duration`.
    std::uint64_t m_seed{1};
};

} // namespace fulmaryard::benchmark

#endif
