#ifndef FULMARYARD_ROUTER_SETTINGS_HPP
#define FULMARYARD_ROUTER_SETTINGS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Settings of a router process.
struct router_settings
{
    std::string m_name; ///< Name in logs, for example "router-1".
    std::string m_region;
    std::string m_failure_domain;
    std::string m_platform;            ///< Address of the platform's store, "IP:PORT".
    std::string m_listen;              ///< Requests from callers, "IP:PORT".
    std::string m_ready_listen;        ///< Readiness checks, "IP:PORT".
    std::string m_metrics_listen;      ///< Metrics and state dump, "IP:PORT".
    std::string m_peer_listen;         ///< UDP datagrams from other routers, "IP:PORT".
    std::string m_log_level{"info"};   ///< "debug", "info", "warning" or "error".
    std::uint32_t m_grace_ms{8000};    ///< Time from SIGTERM to SIGKILL, milliseconds.
    std::uint32_t m_retry_percent{18}; ///< Retries per hundred requests.
    std::uint32_t m_retry_slack{40};   ///< Additional retries per 10 s, for all routers together.
    /// Second attempts for late answers per hundred requests; 0: none.
    std::uint32_t m_hedge_percent{0};
    std::uint32_t m_max_connections{3500}; ///< Connections from callers.
    /// Memory of the instance, in units of 1,000,000 bytes; 0: unknown.
    std::uint32_t m_instance_memory_mb{0};
    /// What the requests of callers hold, read or in progress, for all connections together; 0: by
    /// the memory of the instance.
    std::uint32_t m_request_memory_bytes{0};
    /// Bytes of endpoints' answers that are held until they can be passed on, for all requests
    /// together.
    std::uint32_t m_answer_memory_bytes{33554432};

    friend auto operator<=>(const router_settings&, const router_settings&) = default;
};

} // namespace fulmaryard

#endif
