#ifndef FULMARYARD_CONFIGURATION_STATE_HPP
#define FULMARYARD_CONFIGURATION_STATE_HPP

#include <fulmaryard/configuration.hpp>
#include <fulmaryard/configuration_delta.hpp>
#include <fulmaryard/snapshot.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace fulmaryard
{

/// The configuration in force in one process. Its generation never goes back. Thread-safe.
class configuration_state
{
public:
    configuration_state();

    /// Puts `candidate` in force if its generation is higher than the present one; returns whether
    /// it did. A lower or equal one is a late or repeated delivery and changes nothing.
    bool offer(std::shared_ptr<const configuration> candidate);

    std::uint64_t generation() const;

    /// What changed after generation `known`; none when that was not in force here, or too long
    /// ago, or is the present generation.
    std::optional<configuration_delta> changes_since(std::uint64_t known) const;

    /// For readers on the request path: see `snapshot::reader`.
    const snapshot<configuration>& published() const;

private:
    void note_changes(const configuration& before, const configuration& after);

    mutable std::mutex m_mutex;
    /// Generations that were in force here, in order, while the maps below were kept. A peer at any
    /// other one may hold a file that this process never saw, so its changes are not known.
    std::deque<std::uint64_t> m_seen;
    std::map<std::string, std::uint64_t> m_changed; ///< Tenant to where its present file came in.
    std::map<std::string, std::uint64_t> m_removed; ///< Tenant to where it lost its file.
    snapshot<configuration> m_current;
};

} // namespace fulmaryard

#endif
