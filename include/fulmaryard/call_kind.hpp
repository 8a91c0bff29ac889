#ifndef FULMARYARD_CALL_KIND_HPP
#define FULMARYARD_CALL_KIND_HPP

#include <cstdint>

namespace fulmaryard
{

/// What may be repeated of a call.
enum class call_kind : std::uint8_t
{
    idempotent,
    non_idempotent, ///< Runs at most once.
    streaming
};

} // namespace fulmaryard

#endif
