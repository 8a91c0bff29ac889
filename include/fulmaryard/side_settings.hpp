#ifndef FULMARYARD_SIDE_SETTINGS_HPP
#define FULMARYARD_SIDE_SETTINGS_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Settings of a side process.
struct side_settings
{
    std::string m_name; ///< Name in logs, for example "entry-1".
    std::string
        m_peer_listen; ///< Peers, JSON-RPC, metrics and, on entries, administration: "IP:PORT".
    std::string m_peer_advertise; ///< Address that peers connect to, "IP:PORT"; empty when it is
                                  ///< the one that `m_peer_listen` binds.
    std::string m_region;
    std::string m_failure_domain;
    std::string m_platform; ///< Address of the object API and instance list, "IP:PORT".
    std::uint32_t m_threads{2};
    std::uint32_t m_drain_limit_ms{
        300000};                     ///< Time for work in flight after SIGTERM, milliseconds.
    std::string m_log_level{"info"}; ///< "debug", "info", "warning" or "error".
    std::string m_engine; ///< Address of the engine, "IP:PORT"; empty beside an application worker.
    std::string m_worker; ///< Address of the application worker; empty beside an engine.
    std::string m_service;                        ///< Service the application worker provides.
    std::uint64_t m_max_retained_bytes{67108864}; ///< Stage outputs kept for replacements.
    std::uint32_t m_max_streams{4096};            ///< Held at the same time.

    friend auto operator<=>(const side_settings&, const side_settings&) = default;
};

} // namespace fulmaryard

#endif
