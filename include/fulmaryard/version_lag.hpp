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

    /// A router that is still behind reads again after this time, and then after twice as long each
    /// time.
    static constexpr std::chrono::milliseconds min_repeat{1'000};
    static constexpr std::chrono::milliseconds max_repeat{8'000};

    /// Records the versions that another router knows. Returns the parts of the state in which this
    /// router, which has read up to `own`, has been behind for `tolerance` and which it should read
    /// again. Returns them again while the reads do not succeed.
    lagging_state on_peer_versions(known_versions own, known_versions peer, time_point now);

private:
    /// How far this router is behind in one part of the state.
    struct part_lag
    {
        std::uint64_t m_newest{0}; ///< Newest version of other routers while behind.
        std::uint64_t m_own{0};    ///< What this router had read when the next read was set.
        std::optional<time_point> m_next_read{}; ///< nullopt: not behind.
        std::chrono::milliseconds m_repeat{min_repeat};

        bool on_peer_version(std::uint64_t own, std::uint64_t peer, time_point now);
    };

    part_lag m_configuration;
    part_lag m_endpoints;
};

} // namespace fulmaryard

#endif
