#ifndef FULMARYARD_CALL_KIND_HPP
#define FULMARYARD_CALL_KIND_HPP

#include <cstdint>

namespace fulmaryard
{

/// How the calls of a service may be retried.
enum class call_kind : std::uint8_t
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    streaming       ///< Answered by an event stream, which may be resumed.
};

} // namespace fulmaryard

#endif
