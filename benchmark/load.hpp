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

/// Load on the entries for a time: by clients that each run one stream after the other, or by
/// arrivals at a rate that does not depend on the responses.
struct load
{
    std::vector<std::string> m_addresses;           ///< Of entries, used in turn.
    std::vector<std::string> m_reconnect_addresses; ///< Tried first after a broken connection.
    std::map<std::string, std::size_t> m_clients;   ///< By account.
    std::map<std::string, double> m_arrivals;       ///< Requests per second, by account.
    std::uint32_t m_mean_tokens{40}; ///< The tokens of a stream are uniform in 1/2 to 3/2 of it.
    std::chrono::milliseconds m_duration{5000};
    std::chrono::milliseconds m_retry_pause{50}; ///< Of a client whose request was refused.
    bool m_resumable{false};
    bool m_finish{false}; ///< Read running streams to their end after the duration.
    std::uint64_t m_seed{1};
};

} // namespace fulmaryard::benchmark

#endif
