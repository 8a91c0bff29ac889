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

/// The configuration in force in one process. Its generation never decreases. Thread-safe.
class configuration_state
{
public:
    configuration_state();

    /// Publishes `candidate` if its generation is higher than the current one and returns whether
    /// it did. A lower or equal generation is a late or duplicate delivery and is ignored.
    bool offer(std::shared_ptr<const configuration> candidate);

    std::uint64_t generation() const;

    /// Returns the changes since generation `known`. Empty if `known` is not lower than the current
    /// generation, was never in force in this process, or is no longer in the change history.
    std::optional<configuration_delta> changes_since(std::uint64_t known) const;

    /// Returns the snapshot that the request path reads through a `snapshot::reader`.
    const snapshot<configuration>& published() const;

private:
    void record_changes(const configuration& before, const configuration& after);

    mutable std::mutex m_mutex;
    /// Generations that were in force in this process, ascending, since the maps below were last
    /// cleared. A peer at any other generation may hold a file that this process never received, so
    /// no delta can be computed for it.
    std::deque<std::uint64_t> m_history_generations;
    /// Tenant to the generation that added its current file.
    std::map<std::string, std::uint64_t> m_changed;
    /// Tenant to the generation that removed its file.
    std::map<std::string, std::uint64_t> m_removed;
    snapshot<configuration> m_current;
};

} // namespace fulmaryard

#endif
