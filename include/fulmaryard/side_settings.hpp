#ifndef FULMARYARD_SIDE_SETTINGS_HPP
#define FULMARYARD_SIDE_SETTINGS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Settings of a side process, the server process next to one endpoint.
struct side_settings
{
    std::string m_name; ///< Name in logs, for example "side-1".
    /// Listening address for peer links, JSON-RPC and metrics, "IP:PORT".
    std::string m_peer_listen;
    /// Address that peers connect to, "IP:PORT". If empty, the address bound by `m_peer_listen`.
    std::string m_peer_advertise;
    std::string m_region;
    std::string m_failure_domain;
    /// Address of the platform, which serves the object API and the instance list, "IP:PORT".
    std::string m_platform;
    std::uint32_t m_threads{2}; ///< Number of I/O threads and of stage node shards.
    /// Maximum time to complete work in flight after a drain starts, in milliseconds.
    std::uint32_t m_drain_limit_ms{300000};
    std::string m_log_level{"info"}; ///< "debug", "info", "warning" or "error".
    /// Address of the engine, "IP:PORT". Empty if the endpoint is an application worker.
    std::string m_engine;
    /// Address of the application worker. Empty if the endpoint is an engine.
    std::string m_worker;
    std::string m_service; ///< Name of the service that the application worker provides.
    /// Limit on stage outputs retained to be resent to a replacement stage, in bytes. Divided
    /// evenly among the shards, like `m_max_streams`.
    std::uint64_t m_max_retained_bytes{67108864};
    std::uint32_t m_max_streams{4096}; ///< Maximum number of unfinished streams.

    friend auto operator<=>(const side_settings&, const side_settings&) = default;
};

} // namespace fulmaryard

#endif
