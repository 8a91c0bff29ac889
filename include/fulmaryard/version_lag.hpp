#ifndef FULMARYARD_VERSION_LAG_HPP
#define FULMARYARD_VERSION_LAG_HPP

#include <fulmaryard/known_versions.hpp>
#include <fulmaryard/lagging_state.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace fulmaryard
{

/// Notices that other routers know newer versions of the platform's state than this one, which
/// happens when the connection of a watch has gone silent. Does no I/O. Not thread-safe.
class version_lag
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Routers learn of a change within this time of each other.
    static constexpr std::chrono::milliseconds tolerance{300};

    /// Records the versions that another router knows. Returns the parts of the state in which this
    /// router, which knows `own`, has been behind for `tolerance` and which it should read again.
    /// Returns each newer version once.
    lagging_state on_peer_versions(known_versions own, known_versions peer, time_point now);

private:
    /// How far this router is behind in one part of the state.
    struct part_lag
    {
        std::uint64_t m_checked{0}; ///< Version for which the store was read again.
        std::uint64_t m_newest{0};  ///< Newest version of other routers since `m_behind_since`.
        std::optional<time_point> m_behind_since{};

        bool on_peer_version(std::uint64_t own, std::uint64_t peer, time_point now);
    };

    part_lag m_configuration;
    part_lag m_endpoints;
};

} // namespace fulmaryard

#endif
