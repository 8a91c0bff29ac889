#ifndef FULMARYARD_RATE_LIMIT_REPORT_HPP
#define FULMARYARD_RATE_LIMIT_REPORT_HPP

#include <fulmaryard/named_rate_limit.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace fulmaryard
{

/// What one router observed of an endpoint that names a request rate, to send to others.
struct rate_limit_report
{
    std::string m_endpoint;
    std::uint64_t m_started_ms{0}; ///< Start time of the endpoint's run, Unix milliseconds.
    named_rate_limit m_limit;      ///< By the answers to this router only.
    std::uint64_t m_sent{0};       ///< Requests sent by this router since it knows the limit.
    double m_tokens{0};            ///< Requests that all routers may send now.
    std::map<std::uint32_t, double> m_demand; ///< Requests per second at this router, by rank.
};

} // namespace fulmaryard

#endif
