#ifndef FULMARYARD_ENTRY_SETTINGS_HPP
#define FULMARYARD_ENTRY_SETTINGS_HPP

#include <fulmaryard/administrator.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Settings of an entry process.
struct entry_settings
{
    std::string m_name;           ///< Name in logs, for example "entry-1".
    std::string m_peer_listen;    ///< Listening address for peers, JSON-RPC, metrics and
                                  ///< administration, "IP:PORT".
    std::string m_peer_advertise; ///< Address that peers connect to, "IP:PORT"; if empty,
                                  ///< `m_peer_listen`.
    std::string m_region;
    std::string m_failure_domain;
    std::string m_platform; ///< Address of the object API and instance list, "IP:PORT".
    std::uint32_t m_threads{2};
    std::uint32_t m_drain_limit_ms{300000}; ///< Maximum drain time after SIGTERM, milliseconds.
    std::string m_log_level{"info"};        ///< "debug", "info", "warning" or "error".
    std::string m_listen;                   ///< Listening address for callers, "IP:PORT".
    std::vector<std::string> m_peers;       ///< Peer addresses of other entries; source of the
                                            ///< configuration while the platform is down.
    std::vector<administrator> m_administrators;
    std::uint32_t m_max_body_bytes{1048576}; ///< Maximum body of a caller's request, bytes.
    std::uint32_t m_max_connections{8192};   ///< Maximum concurrent caller connections.
    /// What the requests of callers hold, read or in progress, for all connections together.
    std::uint32_t m_request_memory_bytes{50331648};
    std::uint32_t m_request_deadline_ms{10000}; ///< Time limit to receive a request, milliseconds.
    std::uint32_t m_first_token_target_ms{
        380}; ///< Admission rejects requests with a longer expected wait, milliseconds.
    std::string m_planner{"least_wait"};     ///< "least_wait" or "round_robin".
    std::string m_recovery{"rebuild_stage"}; ///< "rebuild_stage" or "restart".

    /// Address of this process in the instance list and on peer links, "IP:PORT".
    const std::string& advertised_address() const
    {
        return m_peer_advertise.empty() ? m_peer_listen : m_peer_advertise;
    }

    friend auto operator<=>(const entry_settings&, const entry_settings&) = default;
};

} // namespace fulmaryard

#endif
