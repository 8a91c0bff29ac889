#ifndef FULMARYARD_CONFIGURATION_STATE_HPP
#define FULMARYARD_CONFIGURATION_STATE_HPP

#include <fulmaryard/configuration.hpp>
#include <fulmaryard/snapshot.hpp>

#include <cstdint>
#include <memory>
#include <mutex>

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

    /// For readers on the request path: see `snapshot::reader`.
    const snapshot<configuration>& published() const;

private:
    mutable std::mutex m_mutex;
    snapshot<configuration> m_current;
};

} // namespace fulmaryard

#endif
