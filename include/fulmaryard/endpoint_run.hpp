#ifndef FULMARYARD_ENDPOINT_RUN_HPP
#define FULMARYARD_ENDPOINT_RUN_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// One run of an endpoint's process. After a restart, an endpoint may have the same id and address.
struct endpoint_run
{
    std::string m_endpoint;        ///< Id of the endpoint.
    std::uint64_t m_started_ms{0}; ///< Start time, Unix milliseconds.
    std::string m_address;         ///< "IP:PORT".

    friend auto operator<=>(const endpoint_run&, const endpoint_run&) = default;
};

} // namespace fulmaryard

#endif
