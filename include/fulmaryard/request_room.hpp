#ifndef FULMARYARD_REQUEST_ROOM_HPP
#define FULMARYARD_REQUEST_ROOM_HPP

#include <fulmaryard/path_hop.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Memory, batch places and reading time of endpoints that requests hold: those of this process,
/// and those that other routers last reported. Does no I/O. Not thread-safe.
class request_room
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Load that one process puts on one endpoint.
    struct endpoint_use
    {
        double m_memory{0};       ///< Tokens times layers.
        double m_unread{0};       ///< Of prompts that are still to be read, tokens times layers.
        std::int64_t m_firsts{0}; ///< Requests whose path begins there.
        std::int64_t m_parts{0};  ///< Requests whose path crosses it.

        friend auto operator<=>(const endpoint_use&, const endpoint_use&) = default;
    };
    using use_by_endpoint = std::map<std::string, endpoint_use>;

    /// What a router reported counts for this long, since a process that ended holds nothing.
    static constexpr std::chrono::milliseconds peer_lifetime{1'500};

    /// A request of `tokens` tokens at its end goes over `path`; `unread` tokens of it have to be
    /// read first.
    void take(const std::vector<path_hop>& path, double tokens, double unread = 0);
    /// The endpoints of `path` will read `unread` tokens, as of a request that moved there.
    void begin_read(const std::vector<path_hop>& path, double unread);
    /// The endpoints of `path` have read `unread` tokens.
    void on_read(const std::vector<path_hop>& path, double unread);
    /// The request has ended; `unread` is what was not read.
    void release(const std::vector<path_hop>& path, double tokens, double unread = 0);

    void on_peer_report(const std::string& router, use_by_endpoint use, time_point now);

    /// Use of an endpoint by all routers.
    endpoint_use use(const std::string& endpoint, time_point now) const;

    const use_by_endpoint& own() const { return m_own; }

private:
    struct peer_report
    {
        use_by_endpoint m_use;
        time_point m_received;
    };

    use_by_endpoint m_own;
    std::map<std::string, peer_report> m_peers;
};

} // namespace fulmaryard

#endif
