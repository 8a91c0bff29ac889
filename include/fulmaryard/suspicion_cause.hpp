#ifndef FULMARYARD_SUSPICION_CAUSE_HPP
#define FULMARYARD_SUSPICION_CAUSE_HPP

#include <cstdint>

namespace fulmaryard
{

/// Why an endpoint is suspected.
enum class suspicion_cause : std::uint8_t
{
    /// It refused a connection, or another endpoint reported that calls stall at it.
    failure,
    /// It did not answer this router in time. The link or this router may be at fault as well.
    silence
};

} // namespace fulmaryard

#endif
